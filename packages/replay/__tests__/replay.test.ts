/** The replay itself: repeatable figures, errors for invalid patterns, and the model of a backend server. */
import assert from 'node:assert/strict'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { brandId, isLynxError } from '@lynxcourse/base'
import type { RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { submitJob, createBackend, createTimeline, replayPattern, runUntil, readPattern } from '@lynxcourse/replay'
import type { Backend, BackendResult, Job } from '@lynxcourse/replay'
import { createSmallPattern } from './support/smallPattern.js'

function createTestBackend (): Backend {
  return createBackend({ id: brandId<ServerId>('s'), service: brandId<ServiceId>('desk'), region: brandId<RegionId>('north'), failureDomain: 'north-0', slots: 1, queue: 1, warmObjects: 2 })
}

function createTestJob (object: string, results: BackendResult[]): Job {
  return { vm: 'vm-1', object, coldMs: 100, warmPart: 0.25, deadline: 10_000, onResult: result => results.push(result), wasWarm: false, isFinished: false }
}

test('equal seeds give equal figures, different seeds different ones', () => {
  const pattern = createSmallPattern({ seconds: 4 })
  assert.deepEqual(replayPattern(pattern, 7), replayPattern(pattern, 7))
  assert.notDeepEqual(replayPattern(pattern, 7), replayPattern(pattern, 8))
})

test('disabling a mechanism changes the figures', () => {
  const pattern = createSmallPattern({ seconds: 4 })
  assert.notDeepEqual(replayPattern(pattern, 7, new Set(['regionPlan'])), replayPattern(pattern, 7))
})

test('a server runs one request per slot, queues up to its limit, rejects the rest, and serves a warm object faster', () => {
  const timeline = createTimeline()
  const backend = createTestBackend()
  const results: BackendResult[] = []
  for (const object of ['a', 'a', 'b']) submitJob(timeline, backend, createTestJob(object, results), undefined)
  assert.deepEqual(results, [{ type: 'full', ahead: 2 }])
  runUntil(timeline, 100)
  assert.equal(results.length, 2)
  runUntil(timeline, 124)
  assert.equal(results.length, 2)
  runUntil(timeline, 125)
  assert.deepEqual(results.at(-1), { type: 'answered', ahead: 0 })
})

/** Guards against a model that shows no difference between VMs that keep the pauses of servers and VMs that don't. */
test('VMs keep the pauses that servers ask for, and exceed them without that mechanism', () => {
  const region = { failureDomains: 1, entryVms: 1, callers: 0.333, phase: 0 }
  const pattern = createSmallPattern({
    seconds: 8,
    regions: { north: region, south: region, west: region },
    services: { desk: { slots: 9, queue: 9, warmObjects: 40, servers: { north: 4, south: 4, west: 4 } } },
    disturbances: [{ kind: 'serversPause', atS: 2, forS: 4, share: 0.5, part: 1, pauseS: 3 }]
  })
  assert.ok(replayPattern(pattern, 3).pausedRequests <= 2)
  assert.ok(replayPattern(pattern, 3, new Set(['serverPauses'])).pausedRequests > 2)
})

test('an invalid pattern is rejected with its file and field', () => {
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
