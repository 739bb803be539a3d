/** Bounds on what clients may hold, and the order in which their connections are closed. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { connectionBounds, deriveConnectionLimits, deriveListenerConnections, listClosable, listSlowReaders } from '@lynxcourse/limits'
import type { ConnectionUse } from '@lynxcourse/limits'

const seed = 83
const now = 100_000
const quiet: ConnectionUse = { hadRequest: true, openRequests: 0, isReceiving: false, unsentBytes: 0, progressAt: now - 5000 }

const uses: fc.Arbitrary<ConnectionUse> = fc.record({
  hadRequest: fc.boolean(),
  openRequests: fc.constantFrom(0, 1, 16),
  isReceiving: fc.boolean(),
  unsentBytes: fc.constantFrom(0, 1, 100_000),
  progressAt: fc.integer({ min: 0, max: now })
})

/** Guards against this failure: a client that is served loses its connection to one that does nothing. */
test('connections without a request are closed first, then those that do not read, idle ones and senders; those at work are not', () => {
  const unused = { ...quiet, hadRequest: false, progressAt: now }
  const notReading = { ...quiet, openRequests: 1, unsentBytes: 10 }
  const receiving = { ...quiet, openRequests: 1, isReceiving: true }
  const atWork = { ...quiet, openRequests: 1 }
  const reading = { ...quiet, openRequests: 1, unsentBytes: 10, progressAt: now }
  assert.deepEqual(listClosable([atWork, receiving, quiet, reading, notReading, unused], now), [unused, notReading, quiet, receiving])
})

/** Guards against this failure: the connection that is closed is one that has just made progress. */
test('within a kind, the connection without progress for longest is closed first', () => {
  fc.assert(fc.property(fc.array(uses, { maxLength: 20 }), list => {
    const unused = listClosable(list, now).filter(({ hadRequest }) => !hadRequest).map(({ progressAt }) => progressAt)
    assert.deepEqual(unused, [...unused].sort((a, b) => a - b))
    const readers = listSlowReaders(list)
    assert.equal(readers.length, list.filter(({ unsentBytes }) => unsentBytes > 0).length)
    assert.deepEqual(readers.map(({ progressAt }) => progressAt), readers.map(({ progressAt }) => progressAt).sort((a, b) => a - b))
  }), { seed })
})

/** Guards against this failure: the bounds together exceed what the process may use. */
test('the bounds of a process leave room for the process itself', () => {
  fc.assert(fc.property(fc.integer({ min: 150, max: 4000 }), fc.integer({ min: 600, max: 100_000 }), (memoryMb, descriptors) => {
    const memoryBytes = memoryMb * 1_048_576
    const limits = deriveConnectionLimits({ memoryBytes, descriptors, heapBytes: 200_000_000 })
    assert.ok(limits.inputBytes + limits.unsentBytes + limits.bodyBytes + limits.answerBytes < memoryBytes * 0.4)
    assert.ok(limits.sockets < descriptors)
    const listeners = [0.5, 0.15, 0.02, 0.02].map(fraction => deriveListenerConnections(limits, fraction))
    assert.ok(listeners.reduce((sum, connections) => sum + connections, limits.serverConnections) < limits.sockets)
    assert.ok(limits.openRequests > connectionBounds.openRequests)
  }), { seed })
})
