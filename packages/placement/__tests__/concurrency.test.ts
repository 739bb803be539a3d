/** How many requests one VM keeps under way as answers slow down. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createConcurrency, learnConcurrency, mayStart } from '@lynxcourse/placement'
import type { Concurrency } from '@lynxcourse/placement'

const share = 10

/**
 * A small model of load: one VM's share of the slots serves requests of 100 ms in order; so many arrive a
 * second. Returns the time that the last admitted requests took, and how many were admitted.
 */
function play (concurrency: Concurrency, perSecond: number, slots: number, forMs: number): { tookMs: number, admitted: number } {
  const workMs = 100
  const freeAt = Array.from({ length: slots }, () => 0)
  const ends: Array<{ at: number, tookMs: number }> = []
  let admitted = 0
  let tookMs = 0
  for (let now = 0; now < forMs; now += 1000 / perSecond) {
    while (ends[0] !== undefined && ends[0].at <= now) {
      const ended = ends.shift() as { at: number, tookMs: number }
      concurrency.underWay -= 1
      tookMs = ended.tookMs
      learnConcurrency(concurrency, ended.tookMs / workMs, share, ended.at)
    }
    if (!mayStart(concurrency, 0, false)) continue
    admitted += 1
    concurrency.underWay += 1
    const slot = freeAt.indexOf(Math.min(...freeAt))
    const end = Math.max(now, freeAt[slot] as number) + workMs
    freeAt[slot] = end
    ends.push({ at: end, tookMs: end - now })
    ends.sort((a, b) => a.at - b.at)
  }
  return { tookMs, admitted }
}

test('below capacity everything starts', () => {
  const concurrency = createConcurrency(share)
  assert.equal(play(concurrency, 80, share, 10_000).admitted, 800)
})

/** Guards against this failure: for seconds after the loss of a failure domain every answer is late. */
test('at twice the capacity answers stay within a few times their work, and the slots stay busy', () => {
  const concurrency = createConcurrency(share)
  const { tookMs, admitted } = play(concurrency, 100, share / 2, 10_000)
  assert.ok(tookMs <= 300, `took ${tookMs} ms`)
  assert.ok(admitted >= 480, `${admitted} of about 500 that the slots could serve`)
})

/** Guards against this failure: requests are refused while a fifth of the slots stands idle, for as long as objects are cold. */
test('however slow the answers are, all slots of a VM\'s share stay in use, also by the least urgent', () => {
  const concurrency = createConcurrency(share)
  for (let answer = 0; answer < 2000; answer++) learnConcurrency(concurrency, 3.3, share, answer * 10)
  concurrency.underWay = share
  assert.equal(mayStart(concurrency, 2, false), true)
})

test('what is late in any case leaves slots to what can be in time', () => {
  const concurrency = { ...createConcurrency(share), limit: 10, underWay: 8 }
  assert.deepEqual([mayStart(concurrency, 0, false), mayStart(concurrency, 0, true)], [true, false])
})

test('single slow answers lower nothing', () => {
  const concurrency = createConcurrency(share)
  const before = concurrency.limit
  for (let answer = 0; answer < 200; answer++) learnConcurrency(concurrency, answer % 10 === 0 ? 5 : 1, share, answer * 20)
  assert.ok(concurrency.limit >= before)
})

test('under load the most urgent still start where the others are refused', () => {
  const concurrency = { ...createConcurrency(share), limit: 10, underWay: 9 }
  assert.deepEqual([0, 1, 2, 7].map(rank => mayStart(concurrency, rank, false)), [true, true, false, false])
})
