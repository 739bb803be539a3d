/** Tests when a server counts as stalled, ejected or unresponsive, and when it is tried again. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { ServerId } from '@lynxcourse/base'
import { isStalled, recordTimedOutWork, recordAnswer, recordFailure, recordSuccess, recordSharedResponsiveness, recordRequestStart, recordRequestEnd, getUnansweredMs } from '@lynxcourse/placement'
import type { FleetServer } from '@lynxcourse/placement'
import { mumbai, server, createTestFleet, request, getTargetOrReason } from './support/fleet.js'

/** Guards against this failure: requests accumulate at a server that answers nothing. */
test('a server that keeps a request far longer than expected gets no further requests', () => {
  const unresponsive = server('unresponsive')
  const fleet = createTestFleet(unresponsive, server('other', mumbai))
  recordRequestStart(unresponsive, 100, 100, 1000)
  assert.equal(isStalled(unresponsive, 1400), false)
  assert.equal(isStalled(unresponsive, 1600), true)
  assert.equal(getTargetOrReason(fleet, request({ object: '', arrivedAt: 1600, deadline: 2800 }), 1600), 'other')
})

test('a server that fails repeatedly is ejected for longer each time, but used if all servers are ejected', () => {
  const failing = server('failing')
  recordFailure(failing, false, 1000)
  assert.equal(failing.ejectedUntil, -Infinity)
  recordFailure(failing, false, 1000)
  assert.equal(failing.ejectedUntil, 1400)
  recordFailure(failing, false, 1400)
  assert.equal(failing.ejectedUntil, 2200)
  assert.equal(getTargetOrReason(createTestFleet(failing), request(), 1500), 'failing')
})

test('a server that answers no VM gets no request while another server is open, until it answers this VM', () => {
  const fleet = createTestFleet(server('a'), server('b'))
  const primary = getTargetOrReason(fleet, request())
  const primaryServer = fleet.byId.get(brandId<ServerId>(primary)) as FleetServer
  recordSharedResponsiveness(primaryServer, true, 900)
  assert.notEqual(getTargetOrReason(fleet, request()), primary)
  recordSuccess(primaryServer, 1, 1000)
  assert.equal(getTargetOrReason(fleet, request()), primary)
})

/** Guards against this failure: servers that answer requests are excluded as stalled. */
test('a request for a cold object marks no stall, and even a longer one marks none while the server answers others', () => {
  const stalling = server('stalling')
  recordRequestStart(stalling, 100, 300, 1000)
  assert.equal(isStalled(stalling, 1000 + 300 * 1.3 + 240), false)
  assert.equal(isStalled(stalling, 1000 + 300 * 1.3 + 260), true)
  recordAnswer(stalling, 1600)
  assert.equal(isStalled(stalling, 1660), false)
  assert.equal(isStalled(stalling, 1000 + 300 * 3 + 260), true)
})

test('work that timed out raises the longest expected time, by which servers count as stalled', () => {
  const times = { coldMs: 1000, warmMs: 300, longestMs: 1000 }
  for (let n = 0; n < 10; n++) recordTimedOutWork(times, 1200)
  assert.ok(times.longestMs > 1190 && times.longestMs <= 1200, String(times.longestMs))
  assert.equal(times.coldMs, 1000, 'the expected time is learned only from answers')
  recordTimedOutWork(times, 400)
  assert.ok(times.longestMs > 1190, 'a shorter timeout does not change the longest expected time')
})

test('the unanswered time of a server starts with the first unanswered send and includes abandoned requests', () => {
  const known = server('s1')
  assert.equal(getUnansweredMs(known, 5000), 0)
  recordRequestEnd(known, recordRequestStart(known, 100, 300, 1000))
  assert.equal(getUnansweredMs(known, 1800), 800)
  const second = recordRequestStart(known, 100, 300, 2000)
  assert.equal(getUnansweredMs(known, 2500), 1500)
  recordAnswer(known, 2500)
  recordRequestEnd(known, second)
  assert.equal(getUnansweredMs(known, 9000), 0)
})
