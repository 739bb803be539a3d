import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createRateLimit, takeToken } from '@lynxcourse/daemon'

const seed = 47
console.log(`seed ${seed}`)

test('a peer never sends more than its rate and one burst, and each peer has its own limit', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 50 }), fc.array(fc.nat(300), { maxLength: 300 }), (perSecond, pauses) => {
    const limit = createRateLimit(perSecond)
    let now = 0
    let sentCount = 0
    for (const pauseMs of pauses) {
      now += pauseMs
      if (takeToken(limit, 'a', now)) sentCount += 1
    }
    assert.ok(sentCount <= perSecond * 2 + now / 1000 * perSecond + 1)
    assert.ok(takeToken(limit, 'b', now))
  }), { seed, numRuns: 200 })
})
