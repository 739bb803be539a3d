/** The version of the state that a VM knew at a given time. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createKnownVersions, noteVersion, versionAt } from '@lynxcourse/state'

test('the version at a given time is the last one recorded by then', () => {
  const versions = createKnownVersions()
  assert.equal(versionAt(versions, 100), 0)
  noteVersion(versions, 3, 100)
  noteVersion(versions, 7, 200)
  noteVersion(versions, 7, 300)
  assert.deepEqual([99, 100, 199, 200, 250, 900].map(at => versionAt(versions, at)), [0, 3, 3, 7, 7, 7])
})

/**
 * Guards against commands that count as newer than confirmed changes. The version can fall when a copy of the state is read from
 * disk again.
 */
test('a version below the last recorded one is ignored', () => {
  const versions = createKnownVersions()
  noteVersion(versions, 7, 200)
  noteVersion(versions, 5, 300)
  assert.deepEqual([250, 300].map(at => versionAt(versions, at)), [7, 7])
})

test('after a long pause the last version before it is still available, and older ones are dropped', () => {
  const versions = createKnownVersions()
  for (const at of [0, 1, 2]) noteVersion(versions, at + 1, at)
  noteVersion(versions, 9, 60_000)
  assert.deepEqual([1, 2, 59_999, 60_000].map(at => versionAt(versions, at)), [0, 3, 3, 9])
  assert.equal(versions.entries.length, 2)
})
