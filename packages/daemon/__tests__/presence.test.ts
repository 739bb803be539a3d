/** Which servers the leader takes for lost while control VMs are cut off from each other. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createPresence, isInTouch, missedServers, noteEntry, noteReported, noteWatching, getCurrentTime, reportedEntries, handleAnnouncement, takePresenceReport } from '@lynxcourse/daemon'
import type { PresenceReport } from '@lynxcourse/daemon'
import { createLoadBoard, storeLoadUpdate } from '@lynxcourse/placement'
import type { EntryPresence, LoadDigest, LoadUpdate } from '@lynxcourse/placement'
import { brandId, isLynxError } from '@lynxcourse/base'
import type { FailureDomainId, RegionId, ServerId } from '@lynxcourse/base'
import { getControl, createReplaceRoutesCommand, createRouteToDesk, startFleetFixture, startTestServer, submitCommand, waitUntil } from './support/fleetFixture.js'

const server = brandId<ServerId>('i-1')
const missMs = 4500

function entryVm (name: string): EntryPresence {
  return { name, address: `${name}:80`, failureDomain: brandId<FailureDomainId>('kochi-a'), region: brandId<RegionId>('kochi'), isReady: true }
}

function report (load: Partial<LoadDigest>): PresenceReport {
  return { from: { rpc: '127.0.0.1:1', region: brandId<RegionId>('kochi') }, entries: [], heard: [], weights: 0, load: { servers: [], busy: [], failed: [], ...load } }
}

/** Guards against this failure: half of all servers leave the directory at one moment, and come back seconds later. */
test('a server that answers requests is not taken for lost, though its announcements do not arrive', () => {
  const presence = createPresence()
  assert.deepEqual(missedServers(presence, [server], missMs, 0), [])
  takePresenceReport(presence, report({ servers: [[server, 2]] }), 4000)
  assert.deepEqual(missedServers(presence, [server], missMs, 8000), [])
  takePresenceReport(presence, report({ failed: [[server, 2]] }), 8400)
  assert.deepEqual(missedServers(presence, [server], missMs, 8600), [server], 'one that answers nobody is')
})

/** Guards against this failure: servers that tell no load with their answers are taken for lost while a control VM is cut off. */
test('a control VM that does not reach the leader turns announcements away, so that servers go to another one', async () => {
  await using rig = await startFleetFixture(0)
  await submitCommand(rig, createReplaceRoutesCommand('one', 0, 1, [createRouteToDesk('read')]))
  await using known = await startTestServer('s1', (_req, res) => res.end())
  await submitCommand(rig, { type: 'announce', facts: known.facts })
  const control = getControl(rig, 2)
  await waitUntil(async () => await handleAnnouncement(control, known.facts, getCurrentTime()).then(() => true, () => false))
  for (const place of [0, 1]) {
    await rig.daemons[place]?.[Symbol.asyncDispose]()
    rig.daemons[place] = undefined
  }
  await waitUntil(async () => await handleAnnouncement(control, known.facts, getCurrentTime()).then(() => false, err => isLynxError(err, 'notLeader')))
})

test('what a VM hears reaches the leader until some exchanges in a row were missed', () => {
  const presence = createPresence()
  assert.equal(isInTouch(presence, 400, 0), false, 'not before the first')
  presence.exchangedAt = 1000
  assert.equal(isInTouch(presence, 400, 2900), true)
  assert.equal(isInTouch(presence, 400, 3000), false)
})

/*
 * Each of nine control VMs told the leader of all 185 entry VMs two and a half times a second, whether it had heard of them itself or from
 * the leader: 30 KB a report, 0.7 MB a second into the leader, most of it between regions.
 */
test('a control VM tells the leader of the entry VMs that it heard itself, once, and again until the leader has it', () => {
  const presence = createPresence()
  for (let place = 0; place < 185; place++) noteEntry(presence, entryVm(`far-${place}`), 900)
  noteWatching(presence, entryVm('near'), 1000)
  const first = reportedEntries(presence, 1200)
  assert.deepEqual(first.map(({ presence: { name }, ageMs }) => [name, ageMs]), [['near', 200]])
  assert.deepEqual(reportedEntries(presence, 1600).length, 1, 'the report was lost')
  noteReported(presence, first)
  assert.deepEqual(reportedEntries(presence, 2000), [])
  noteWatching(presence, entryVm('near'), 2100)
  assert.equal(reportedEntries(presence, 2400).length, 1)
})

test('an entry VM that is heard while a report of it is under way is told again', () => {
  const presence = createPresence()
  noteWatching(presence, entryVm('near'), 1000)
  const sent = reportedEntries(presence, 1200)
  noteWatching(presence, { ...entryVm('near'), isReady: false }, 1210)
  noteReported(presence, sent)
  assert.deepEqual(reportedEntries(presence, 1600).map(entry => entry.presence.isReady), [false])
})

test('a control VM that was told the weights keeps them when they are not told again', () => {
  const board = createLoadBoard()
  const weights = { version: 7, servers: [[server, 0.5] as const] }
  const news: LoadUpdate = { full: [], plans: [], silent: [] }
  storeLoadUpdate(board, { ...news, weights })
  storeLoadUpdate(board, news)
  assert.deepEqual([board.news.weights, board.weights.get(server)], [weights, 0.5])
})
