import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createRateLimit, takeToken } from '@lynxcourse/daemon'

const seed = 47
console.log(`seed ${seed}`)

test('a peer never gets more through than its rate and one burst, and peers do not share', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 50 }), fc.array(fc.nat(300), { maxLength: 300 }), (perSecond, waits) => {
    const limit = createRateLimit(perSecond)
    let now = 0
    let taken = 0
    for (const wait of waits) {
      now += wait
      if (takeToken(limit, 'a', now)) taken += 1
    }
    assert.ok(taken <= perSecond * 2 + now / 1000 * perSecond + 1)
    assert.ok(takeToken(limit, 'b', now))
  }), { seed, numRuns: 200 })
})
