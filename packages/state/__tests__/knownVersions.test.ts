/** Which version of the state a VM knew at a time. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createKnownVersions, recordKnownVersion, getKnownVersionAt } from '@lynxcourse/state'

test('an order counts from the version that was known when it can have come', () => {
  const versions = createKnownVersions()
  assert.equal(getKnownVersionAt(versions, 100), 0)
  recordKnownVersion(versions, 3, 100)
  recordKnownVersion(versions, 7, 200)
  recordKnownVersion(versions, 7, 300)
  assert.deepEqual([99, 100, 199, 200, 250, 900].map(at => getKnownVersionAt(versions, at)), [0, 3, 3, 7, 7, 7])
})

/** Guards against orders that count as newer than what was confirmed, since a copy was read from disk anew. */
test('a version below the last one changes nothing', () => {
  const versions = createKnownVersions()
  recordKnownVersion(versions, 7, 200)
  recordKnownVersion(versions, 5, 300)
  assert.deepEqual([250, 300].map(at => getKnownVersionAt(versions, at)), [7, 7])
})

test('after a long stop the version from before it is still known, and older ones are forgotten', () => {
  const versions = createKnownVersions()
  for (const at of [0, 1, 2]) recordKnownVersion(versions, at + 1, at)
  recordKnownVersion(versions, 9, 60_000)
  assert.deepEqual([1, 2, 59_999, 60_000].map(at => getKnownVersionAt(versions, at)), [0, 3, 3, 9])
  assert.equal(versions.known.length, 2)
})
