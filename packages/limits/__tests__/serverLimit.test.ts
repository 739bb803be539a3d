/** The limit of one server over several VMs that exchange no messages. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { applyPublishedLimit, computeEqualShare, computeMaxSharers, consumeLimitToken, createServerLimit, expireLimit, getTokenDelay, hasLimitToken, limitTtlMs, recordNamedLimit } from '@lynxcourse/limits'
import type { ServerLimit } from '@lynxcourse/limits'

const seed = 47
console.log(`seed ${seed}`)

const windowMs = 4000
const stepMs = 20
const runMs = 24_000

function computeBound (perSecond: number): number {
  return perSecond * windowMs / 1000 * 1.5 + 5
}

function createLimited (perSecond: number, now = 0): ServerLimit {
  const limit = createServerLimit()
  recordNamedLimit(limit, { type: 'limited', perSecond }, now)
  return limit
}

/** Sends a request if the limit permits it; returns whether it does. */
function trySend (limit: ServerLimit, share: number, now: number): boolean {
  if (!hasLimitToken(limit, share, now)) return false
  consumeLimitToken(limit)
  return true
}

function countBusiestWindow (arrivals: readonly number[]): number {
  return Math.max(0, ...arrivals.map(start => arrivals.filter(at => at >= start && at < start + windowMs).length))
}

/** Lets VMs send until the end of the run, with pauses after which their buckets are full; returns the times of the sends. */
function simulate (perSecond: number, shares: readonly number[], pauseMs: number): number[] {
  const limits = shares.map(() => createLimited(perSecond))
  const arrivals: number[] = []
  for (let now = 0; now < runMs; now += stepMs) {
    if (now % (2 * pauseMs) < pauseMs) continue
    shares.forEach((share, index) => { while (trySend(limits[index] as ServerLimit, share, now)) arrivals.push(now) })
  }
  return arrivals
}

const perSecondArbitrary = fc.oneof(fc.constantFrom(0, 0.1, 0.25, 1, 4.1, 5.4), fc.double({ min: 0, max: 60, noNaN: true }))

/** Guards against a limit that each VM keeps by itself and all together exceed. */
test('all VMs together keep a limit in any window, by equal shares, whatever their number', () => {
  fc.assert(fc.property(perSecondArbitrary, fc.integer({ min: 1, max: 200 }), fc.integer({ min: 20, max: 6000 }), (perSecond, vmCount, pauseMs) => {
    const names = Array.from({ length: vmCount }, (_, index) => `vm-${index}`)
    const shares = names.map(name => computeEqualShare(perSecond, name, names)).filter(share => share > 0)
    return countBusiestWindow(simulate(perSecond, shares, pauseMs)) <= computeBound(perSecond)
  }), { seed, numRuns: 60 })
})

/** Guards against a bound that is exceeded while some VMs know of a change of the VMs and others don't. */
test('all VMs together keep a limit while a third of them does not know of one VM more', () => {
  fc.assert(fc.property(fc.double({ min: 0, max: 30, noNaN: true }), fc.integer({ min: 2, max: 12 }), (perSecond, vmCount) => {
    const names = Array.from({ length: vmCount }, (_, index) => `vm-${index}`)
    const shares = names.map((name, index) => computeEqualShare(perSecond, name, index % 3 === 0 ? names.slice(0, Math.max(index + 1, vmCount - 1)) : names))
    return countBusiestWindow(simulate(perSecond, shares, 4000)) <= computeBound(perSecond)
  }), { seed, numRuns: 60 })
})

test('a server gets what it takes from VMs that have requests all the time', () => {
  for (const perSecond of [0.25, 1, 4.1, 20]) {
    const names = Array.from({ length: 8 }, (_, index) => `vm-${index}`)
    const limits = names.map(() => createLimited(perSecond))
    let sends = 0
    for (let now = 0; now < 100_000; now += stepMs) {
      names.forEach((name, index) => { if (trySend(limits[index] as ServerLimit, computeEqualShare(perSecond, name, names), now)) sends += 1 })
    }
    assert.ok(sends >= perSecond * 100 * 0.9 && sends <= perSecond * 102 + 5, `${sends} sends at ${perSecond} a second`)
  }
})

/** Guards against full buckets from the time of a higher limit. */
test('a limit that falls binds at once', () => {
  const limit = createLimited(40)
  hasLimitToken(limit, 1, 5000)
  recordNamedLimit(limit, { type: 'limited', perSecond: 1 }, 5000)
  let sends = 0
  for (let now = 5000; now < 5000 + windowMs; now += stepMs) if (trySend(limit, 1, now)) sends += 1
  assert.ok(sends <= computeBound(1), `${sends} sends`)
})

/** Guards against a server that is never tried again, since no answer can show that its limit has ended. */
test('a limit of zero lets a request through now and then', () => {
  const limit = createLimited(0)
  let sends = 0
  for (let now = 0; now < 60_000; now += 100) if (trySend(limit, 1, now)) sends += 1
  assert.ok(sends >= 3 && sends <= 12, `${sends} sends`)
  assert.ok(computeMaxSharers(0) >= 1)
})

test('a VM that was suspended sends no more afterwards than its bucket holds', () => {
  const limit = createLimited(2)
  let sends = 0
  while (trySend(limit, 0.5, 3_600_000)) sends += 1
  assert.ok(sends <= 2, `${sends} sends`)
})

test('an answer of its own outweighs what the leader published shortly after it', () => {
  const limit = createLimited(5, 1000)
  assert.equal(applyPublishedLimit(limit, undefined, 0, 2000), undefined)
  assert.equal(limit.perSecond, 5)
  assert.deepEqual(applyPublishedLimit(limit, undefined, 0, 10_000), { type: 'ended', previous: 5 })
  assert.deepEqual(applyPublishedLimit(limit, 3, 0.5, 11_000), { type: 'named', perSecond: 3, previous: undefined })
  assert.equal(limit.share, 0.5)
})

test('a limit that nothing confirms is forgotten', () => {
  const limit = createLimited(5, 0)
  assert.equal(expireLimit(limit, limitTtlMs), undefined)
  assert.deepEqual(expireLimit(limit, limitTtlMs + 1), { type: 'ended', previous: 5 })
})

test('the time to the next token is told, and is infinite for a VM without a share', () => {
  const limit = createLimited(4)
  while (trySend(limit, 0.5, 0)) ;
  limit.tokens = 0
  assert.equal(getTokenDelay(limit, 0.5, 0), 500)
  assert.equal(getTokenDelay(limit, 0.5, 500), 0)
  assert.equal(getTokenDelay(createLimited(4), 0, 0), Infinity)
  assert.equal(getTokenDelay(createServerLimit(), 0, 0), 0)
})
