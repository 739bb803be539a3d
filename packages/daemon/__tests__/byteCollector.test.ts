/** Bodies that arrive in any parts. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { collectBytes, createByteCollector, takeBytes } from '@lynxcourse/daemon'

const seed = 83

/** Guards against this failure: a part of a body is lost, doubled or moved when small parts are copied together. */
test('the collected bytes are those of the parts, in their order', () => {
  fc.assert(fc.property(fc.array(fc.oneof(fc.uint8Array({ maxLength: 10 }), fc.uint8Array({ minLength: 1000, maxLength: 3000 })), { maxLength: 60 }), parts => {
    const collector = createByteCollector()
    const buffers = parts.map(part => Buffer.from(part))
    for (const buffer of buffers) collectBytes(collector, buffer)
    const whole = Buffer.concat(buffers)
    assert.equal(collector.size, whole.length)
    assert.ok(takeBytes(collector).equals(whole))
    assert.equal(takeBytes(collector).length, 0)
  }), { seed })
})

/** Guards against this failure: a body in very small parts fills the heap with the objects of its parts. */
test('very many small parts are kept in few buffers', () => {
  const collector = createByteCollector()
  for (let count = 0; count < 200_000; count++) collectBytes(collector, Buffer.from('x'))
  assert.ok(collector.parts.length < 20, `${collector.parts.length} buffers`)
  assert.equal(takeBytes(collector).length, 200_000)
})
