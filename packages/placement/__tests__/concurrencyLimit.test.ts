/** The concurrency limit of one VM while answers slow down. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createConcurrencyLimit, adaptConcurrencyLimit, mayAdmit } from '@lynxcourse/placement'
import type { ConcurrencyLimit } from '@lynxcourse/placement'

const share = 10

/**
 * A small queueing model: one VM's share of the slots serves requests of 100 ms in order of arrival, of which
 * `perSecond` arrive. Returns the latency of the last completed request and the number of admitted requests.
 */
function simulate (concurrency: ConcurrencyLimit, perSecond: number, slots: number, forMs: number): { tookMs: number, admitted: number } {
  const workMs = 100
  const freeAt = Array.from({ length: slots }, () => 0)
  const ends: Array<{ at: number, tookMs: number }> = []
  let admitted = 0
  let tookMs = 0
  for (let now = 0; now < forMs; now += 1000 / perSecond) {
    while (ends[0] !== undefined && ends[0].at <= now) {
      const completed = ends.shift() as { at: number, tookMs: number }
      concurrency.underWay -= 1
      tookMs = completed.tookMs
      adaptConcurrencyLimit(concurrency, completed.tookMs / workMs, share, completed.at)
    }
    if (!mayAdmit(concurrency, 0, false)) continue
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

test('below capacity every request is admitted', () => {
  const concurrency = createConcurrencyLimit(share)
  assert.equal(simulate(concurrency, 80, share, 10_000).admitted, 800)
})

/**
 * Guards against answers that are late for seconds after a failure domain is lost: queues grow at the remaining
 * servers.
 */
test('at twice the capacity latency stays within a few times the work time, and the slots stay busy', () => {
  const concurrency = createConcurrencyLimit(share)
  const { tookMs, admitted } = simulate(concurrency, 100, share / 2, 10_000)
  assert.ok(tookMs <= 300, `took ${tookMs} ms`)
  assert.ok(admitted >= 480, `${admitted} of about 500 that the slots could serve`)
})

/** Guards against rejections while a fifth of the slots is idle, which last as long as objects are cold. */
test('however slow the answers are, all slots of a VM\'s share can be used, even by the least urgent requests', () => {
  const concurrency = createConcurrencyLimit(share)
  for (let answer = 0; answer < 2000; answer++) adaptConcurrencyLimit(concurrency, 3.3, share, answer * 10)
  concurrency.underWay = share
  assert.equal(mayAdmit(concurrency, 2, false), true)
})

test('requests that are late in any case leave slots to requests that can be in time', () => {
  const concurrency = { ...createConcurrencyLimit(share), limit: 10, underWay: 8 }
  assert.deepEqual([mayAdmit(concurrency, 0, false), mayAdmit(concurrency, 0, true)], [true, false])
})

test('single slow answers do not lower the limit', () => {
  const concurrency = createConcurrencyLimit(share)
  const before = concurrency.limit
  for (let answer = 0; answer < 200; answer++) adaptConcurrencyLimit(concurrency, answer % 10 === 0 ? 5 : 1, share, answer * 20)
  assert.ok(concurrency.limit >= before)
})

test('under load the most urgent requests are admitted while others are rejected', () => {
  const concurrency = { ...createConcurrencyLimit(share), limit: 10, underWay: 9 }
  assert.deepEqual([0, 1, 2, 7].map(rank => mayAdmit(concurrency, rank, false)), [true, true, false, false])
})
