/** The replay itself: the same figures twice, wrong patterns named, and what its parts do. */
import assert from 'node:assert/strict'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { brandId, isLynxError } from '@lynxcourse/base'
import type { RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { arriveAt, createBackend, createTimeline, replayPattern, runUntil, readPattern } from '@lynxcourse/replay'
import type { Backend, BackendEnd, Job } from '@lynxcourse/replay'
import { smallPattern } from './support/smallPattern.js'

function backend (): Backend {
  return createBackend({ id: brandId<ServerId>('s'), service: brandId<ServiceId>('desk'), region: brandId<RegionId>('north'), failureDomain: 'north-0', slots: 1, queue: 1, warmObjects: 2 })
}

function job (object: string, ends: BackendEnd[]): Job {
  return { object, coldMs: 100, warmPart: 0.25, deadline: 10_000, onEnd: end => ends.push(end), wasWarm: false, isOver: false }
}

test('one seed gives the same figures twice, another one others', () => {
  const pattern = smallPattern({ seconds: 4 })
  assert.deepEqual(replayPattern(pattern, 7), replayPattern(pattern, 7))
  assert.notDeepEqual(replayPattern(pattern, 7), replayPattern(pattern, 8))
})

test('a mechanism that is left out changes what happens', () => {
  const pattern = smallPattern({ seconds: 4 })
  assert.notDeepEqual(replayPattern(pattern, 7, new Set(['regionPlan'])), replayPattern(pattern, 7))
})

test('a server works on one request a slot, lets few wait, turns others away, and is fast where its object is warm', () => {
  const timeline = createTimeline()
  const server = backend()
  const ends: BackendEnd[] = []
  for (const object of ['a', 'a', 'b']) arriveAt(timeline, server, job(object, ends), false)
  assert.deepEqual(ends, [{ type: 'full', ahead: 2 }])
  runUntil(timeline, 100)
  assert.equal(ends.length, 2)
  runUntil(timeline, 124)
  assert.equal(ends.length, 2)
  runUntil(timeline, 125)
  assert.deepEqual(ends.at(-1), { type: 'answered', ahead: 0 })
})

test('a pattern that is wrong is refused with its file and field', () => {
  const folder = mkdtempSync(join(tmpdir(), 'lynx-pattern-'))
  try {
    const file = join(folder, 'wrong.yaml')
    writeFileSync(file, 'name: wrong\nabout: nothing\nseconds: -1\n')
    assert.throws(() => readPattern(file), err => isLynxError(err, 'badSettings') && err.message.includes(file) && err.message.includes('seconds'))
    assert.throws(() => readPattern(join(folder, 'none.yaml')), err => isLynxError(err, 'badSettings'))
  } finally {
    rmSync(folder, { recursive: true })
  }
})
