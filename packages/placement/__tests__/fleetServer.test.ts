/** When a server is doubted, left alone and tried again. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { ServerId } from '@lynxcourse/base'
import { isStalled, learnCutWork, noteAnswered, noteBad, noteGood, noteSharedSilence, noteStart, noteStop, owedFor } from '@lynxcourse/placement'
import type { FleetServer } from '@lynxcourse/placement'
import { mumbai, server, createTestFleet, request, sentTo } from './support/fleet.js'

/** Guards against this failure: requests pile up at a server that answers nothing. */
test('a server that holds a request far longer than expected gets no further ones', () => {
  const dark = server('dark')
  const fleet = createTestFleet(dark, server('other', mumbai))
  noteStart(dark, 100, 100, 1000)
  assert.equal(isStalled(dark, 1400), false)
  assert.equal(isStalled(dark, 1600), true)
  assert.equal(sentTo(fleet, request({ object: '', arrivedAt: 1600, deadline: 2800 }), 1600), 'other')
})

test('a server that fails again and again is left alone for longer each time, and tried where all are suspect', () => {
  const bad = server('bad')
  noteBad(bad, false, 1000)
  assert.equal(bad.ejectedUntil, -Infinity)
  noteBad(bad, false, 1000)
  assert.equal(bad.ejectedUntil, 1400)
  noteBad(bad, false, 1400)
  assert.equal(bad.ejectedUntil, 2200)
  assert.equal(sentTo(createTestFleet(bad), request(), 1500), 'bad')
})

test('a server that answers no VM gets nothing while others are open, until it answers this one', () => {
  const fleet = createTestFleet(server('a'), server('b'))
  const home = sentTo(fleet, request())
  const held = fleet.byId.get(brandId<ServerId>(home)) as FleetServer
  noteSharedSilence(held, true, 900)
  assert.notEqual(sentTo(fleet, request()), home)
  noteGood(held, 1, 1000)
  assert.equal(sentTo(fleet, request()), home)
})

/** Guards against this failure: servers are left alone though they answer. */
test('a request for a cold object marks no stall, least of all while its server answers others', () => {
  const held = server('held')
  noteStart(held, 100, 300, 1000)
  assert.equal(isStalled(held, 1000 + 300 * 1.3 + 240), false)
  assert.equal(isStalled(held, 1000 + 300 * 1.3 + 260), true)
  noteAnswered(held, 1600)
  assert.equal(isStalled(held, 1660), false)
  assert.equal(isStalled(held, 1000 + 300 * 3 + 260), true)
})

test('work that is cut is at least as long as it lasted, and lengthens what servers are doubted by', () => {
  const times = { coldMs: 1000, warmMs: 300, longestMs: 1000 }
  for (let n = 0; n < 10; n++) learnCutWork(times, 1200)
  assert.ok(times.longestMs > 1190 && times.longestMs <= 1200, String(times.longestMs))
  assert.equal(times.coldMs, 1000, 'the expected time is learned from answers alone')
  learnCutWork(times, 400)
  assert.ok(times.longestMs > 1190, 'a send that was cut soon tells nothing')
})

test('a server owes an answer from the first send that got none, requests given up included', () => {
  const known = server('s1')
  assert.equal(owedFor(known, 5000), 0)
  noteStop(known, noteStart(known, 100, 300, 1000))
  assert.equal(owedFor(known, 1800), 800)
  const second = noteStart(known, 100, 300, 2000)
  assert.equal(owedFor(known, 2500), 1500)
  noteAnswered(known, 2500)
  noteStop(known, second)
  assert.equal(owedFor(known, 9000), 0)
})
