/** The memory of the bodies of callers' requests. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createBodyMemory, releaseBody, tryHoldPart } from '@lynxcourse/daemon'

const seed = 83

/** Guards against this failure: a body within the route's limit is refused because small ones are in memory beside it. */
test('one body may exceed the bound beside small ones, and a second one may not', () => {
  const memory = createBodyMemory(100)
  const [small, large, second] = [{ bytes: 0 }, { bytes: 0 }, { bytes: 0 }]
  assert.equal(tryHoldPart(memory, small, 10), true)
  assert.equal(tryHoldPart(memory, large, 80), true)
  assert.equal(tryHoldPart(memory, large, 80), true)
  assert.equal(tryHoldPart(memory, second, 80), true)
  assert.equal(tryHoldPart(memory, second, 80), false)
  assert.equal(tryHoldPart(memory, small, 10), true)
  releaseBody(memory, large)
  assert.equal(tryHoldPart(memory, second, 80), true)
})

/** Guards against this failure: memory that was returned counts as held, so that bodies are refused for good. */
test('all bodies but one are within the bound, and all memory is returned', () => {
  fc.assert(fc.property(fc.array(fc.record({ body: fc.integer({ min: 0, max: 5 }), bytes: fc.integer({ min: 1, max: 70 }), isEnd: fc.boolean() }), { maxLength: 60 }), steps => {
    const memory = createBodyMemory(100)
    const bodies = Array.from({ length: 6 }, () => ({ bytes: 0 }))
    for (const { body: index, bytes, isEnd } of steps) {
      const body = bodies[index] ?? { bytes: 0 }
      if (isEnd) releaseBody(memory, body)
      else tryHoldPart(memory, body, bytes)
      const others = bodies.filter(held => held !== memory.excess).reduce((sum, held) => sum + held.bytes, 0)
      assert.equal(memory.bytes, others)
      assert.ok(others <= memory.maxBytes)
    }
    for (const body of bodies) releaseBody(memory, body)
    assert.deepEqual({ bytes: memory.bytes, excess: memory.excess }, { bytes: 0, excess: undefined })
  }), { seed })
})
