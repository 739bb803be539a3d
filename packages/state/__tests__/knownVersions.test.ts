/** The version of the state that a VM knew at a given time. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createKnownVersions, recordKnownVersion, getKnownVersionAt } from '@lynxcourse/state'

test('the version at a given time is the last one recorded by then', () => {
  const versions = createKnownVersions()
  assert.equal(getKnownVersionAt(versions, 100), 0)
  recordKnownVersion(versions, 3, 100)
  recordKnownVersion(versions, 7, 200)
  recordKnownVersion(versions, 7, 300)
  assert.deepEqual([99, 100, 199, 200, 250, 900].map(at => getKnownVersionAt(versions, at)), [0, 3, 3, 7, 7, 7])
})

/**
 * Guards against commands that count as newer than confirmed changes. The version can fall when a copy of the state is read from
 * disk again.
 */
test('a version below the last recorded one is ignored', () => {
  const versions = createKnownVersions()
  recordKnownVersion(versions, 7, 200)
  recordKnownVersion(versions, 5, 300)
  assert.deepEqual([250, 300].map(at => getKnownVersionAt(versions, at)), [7, 7])
})

test('after a long pause the last version before it is still available, and older ones are dropped', () => {
  const versions = createKnownVersions()
  for (const at of [0, 1, 2]) recordKnownVersion(versions, at + 1, at)
  recordKnownVersion(versions, 9, 60_000)
  assert.deepEqual([1, 2, 59_999, 60_000].map(at => getKnownVersionAt(versions, at)), [0, 3, 3, 9])
  assert.equal(versions.entries.length, 2)
})
