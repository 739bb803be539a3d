/** Which version of the state a VM knew at a time. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createKnownVersions, noteVersion, versionAt } from '@lynxcourse/state'

test('an order counts from the version that was known when it can have come', () => {
  const versions = createKnownVersions()
  assert.equal(versionAt(versions, 100), 0)
  noteVersion(versions, 3, 100)
  noteVersion(versions, 7, 200)
  noteVersion(versions, 7, 300)
  assert.deepEqual([99, 100, 199, 200, 250, 900].map(at => versionAt(versions, at)), [0, 3, 3, 7, 7, 7])
})

/** Guards against orders that count as newer than what was confirmed, since a copy was read from disk anew. */
test('a version below the last one changes nothing', () => {
  const versions = createKnownVersions()
  noteVersion(versions, 7, 200)
  noteVersion(versions, 5, 300)
  assert.deepEqual([250, 300].map(at => versionAt(versions, at)), [7, 7])
})

test('after a long stop the version from before it is still known, and older ones are forgotten', () => {
  const versions = createKnownVersions()
  for (const at of [0, 1, 2]) noteVersion(versions, at + 1, at)
  noteVersion(versions, 9, 60_000)
  assert.deepEqual([1, 2, 59_999, 60_000].map(at => versionAt(versions, at)), [0, 3, 3, 9])
  assert.equal(versions.entries.length, 2)
})
