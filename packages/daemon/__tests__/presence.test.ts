/** Presence of entry VMs and servers, and which servers the leader marks as lost while control VMs are partitioned. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createPresence, hasRecentExchange, findMissedServers, recordEntry, recordReported, recordWatchingEntry, getCurrentTime, listUnreportedEntries, handleAnnouncement, applyPresenceReport } from '@lynxcourse/daemon'
import type { PresenceReport } from '@lynxcourse/daemon'
import { createLoadBoard, storeLoadUpdate } from '@lynxcourse/placement'
import type { EntryPresence, LoadDigest, LoadUpdate } from '@lynxcourse/placement'
import { brandId, isLynxError } from '@lynxcourse/base'
import type { FailureDomainId, RegionId, ServerId } from '@lynxcourse/base'
import { getControl, createReplaceRoutesCommand, createRouteToDesk, startFleetFixture, startTestServer, submitCommand, waitUntil } from './support/fleetFixture.js'

const server = brandId<ServerId>('i-1')
const missMs = 4500

function createEntry (name: string): EntryPresence {
  return { name, address: `${name}:80`, failureDomain: brandId<FailureDomainId>('kochi-a'), region: brandId<RegionId>('kochi'), isReady: true }
}

function createReport (load: Partial<LoadDigest>): PresenceReport {
  return { from: { rpc: '127.0.0.1:1', region: brandId<RegionId>('kochi') }, entries: [], heard: [], weights: 0, load: { servers: [], busy: [], failed: [], ...load } }
}

/** Guards against half of all servers leaving the directory at the same time and returning seconds later. */
test('a server that answers requests does not count as missed, although its announcements do not arrive', () => {
  const presence = createPresence()
  assert.deepEqual(findMissedServers(presence, [server], missMs, 0), [])
  applyPresenceReport(presence, createReport({ servers: [[server, 2]] }), 4000)
  assert.deepEqual(findMissedServers(presence, [server], missMs, 8000), [])
  applyPresenceReport(presence, createReport({ failed: [[server, 2]] }), 8400)
  assert.deepEqual(findMissedServers(presence, [server], missMs, 8600), [server], 'a server that answers no request is missed')
})

/** Guards against servers without load headers that are marked as lost while a control VM is partitioned. */
test('a control VM that can\'t reach the leader rejects announcements, so that servers use another control VM', async () => {
  await using fixture = await startFleetFixture(0)
  await submitCommand(fixture, createReplaceRoutesCommand('one', 0, 1, [createRouteToDesk('read')]))
  await using known = await startTestServer('s1', (_req, res) => res.end())
  await submitCommand(fixture, { type: 'announce', facts: known.facts })
  const control = getControl(fixture, 2)
  await waitUntil(async () => await handleAnnouncement(control, known.facts, getCurrentTime()).then(() => true, () => false))
  for (const index of [0, 1]) {
    await fixture.daemons[index]?.[Symbol.asyncDispose]()
    fixture.daemons[index] = undefined
  }
  await waitUntil(async () => await handleAnnouncement(control, known.facts, getCurrentTime()).then(() => false, err => isLynxError(err, 'notLeader')))
})

test('a VM counts as connected to the leader until several consecutive exchanges have failed', () => {
  const presence = createPresence()
  assert.equal(hasRecentExchange(presence, 400, 0), false, 'no exchange yet')
  presence.lastExchangeAt = 1000
  assert.equal(hasRecentExchange(presence, 400, 2900), true)
  assert.equal(hasRecentExchange(presence, 400, 3000), false)
})

/*
 * Guards against needless traffic to the leader. When each of nine control VMs reported all 185 entry VMs in each
 * exchange, including those that it knew from the leader, reports had 30 KB, and the leader received 0.7 MB/s, mostly
 * across regions.
 */
test('a control VM reports entry VMs that it saw directly, once, and again until the leader has received the report', () => {
  const presence = createPresence()
  for (let index = 0; index < 185; index++) recordEntry(presence, createEntry(`remote-${index}`), 900)
  recordWatchingEntry(presence, createEntry('direct'), 1000)
  const firstReport = listUnreportedEntries(presence, 1200)
  assert.deepEqual(firstReport.map(({ presence: { name }, ageMs }) => [name, ageMs]), [['direct', 200]])
  assert.deepEqual(listUnreportedEntries(presence, 1600).length, 1, 'the report was lost')
  recordReported(presence, firstReport)
  assert.deepEqual(listUnreportedEntries(presence, 2000), [])
  recordWatchingEntry(presence, createEntry('direct'), 2100)
  assert.equal(listUnreportedEntries(presence, 2400).length, 1)
})

test('an entry VM that changes while a report with it is in flight is reported again', () => {
  const presence = createPresence()
  recordWatchingEntry(presence, createEntry('direct'), 1000)
  const sentReport = listUnreportedEntries(presence, 1200)
  recordWatchingEntry(presence, { ...createEntry('direct'), isReady: false }, 1210)
  recordReported(presence, sentReport)
  assert.deepEqual(listUnreportedEntries(presence, 1600).map(entry => entry.presence.isReady), [false])
})

test('a control VM keeps the weights when a later update omits them', () => {
  const board = createLoadBoard()
  const weights = { version: 7, servers: [[server, 0.5] as const] }
  const update: LoadUpdate = { full: [], plans: [], silent: [] }
  storeLoadUpdate(board, { ...update, weights }, 0)
  storeLoadUpdate(board, update, 0)
  assert.deepEqual([board.news.weights, board.weights.get(server)], [weights, 0.5])
})
