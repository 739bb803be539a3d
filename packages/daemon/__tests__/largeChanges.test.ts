/** Many and large changes, and control VMs whose disks are lost meanwhile. */
import assert from 'node:assert/strict'
import { stat } from 'node:fs/promises'
import { join } from 'node:path'
import { test } from 'node:test'
import { crc32 } from 'node:zlib'
import { lastIndex, voters } from '@lynxcourse/agreement'
import type { Replica } from '@lynxcourse/agreement'
import { getHolderVm } from '@lynxcourse/base'
import type { HolderId } from '@lynxcourse/base'
import { callPeer, getCurrentTime, isLeading, readRoutes } from '@lynxcourse/daemon'
import type { FleetControl } from '@lynxcourse/daemon'
import { getRoutesVersion } from '@lynxcourse/state'
import type { Route } from '@lynxcourse/state'
import { createReplaceRoutesCommand, createRouteToDesk, getControl, loseDisk, startFleetFixture, submitCommand, waitUntil } from './support/fleetFixture.js'
import type { FleetFixture } from './support/fleetFixture.js'
import type { SlowLinkCfg } from './support/slowForwarder.js'

/** Bound on the log file of a control VM whose snapshot is small; it is compacted at half of this. */
const maxLogBytes = 2_097_152
const betweenRegions: SlowLinkCfg = { delayMs: 55, bytesPerSecond: 700_000 }

function createRoutes (count: number, change: number): Route[] {
  return Array.from({ length: count }, (_, index) => createRouteToDesk(`route-${index}`, { pathPrefix: `/p${index}/`, timeoutMs: 1000 + (index % 4 === 0 ? change : 0) }))
}

/** Sets whole configurations one after the other; returns the version of the last one. */
async function replaceRoutes (fixture: FleetFixture, routeCount: number, changeCount: number, from = 0): Promise<number> {
  for (let version = from; version < from + changeCount; version++) {
    const answer = await submitCommand(fixture, createReplaceRoutesCommand(`change-${version}`, version, version + 1, createRoutes(routeCount, version)))
    assert.ok(answer.ok, `change ${version}: ${JSON.stringify(answer)}`)
  }
  return from + changeCount
}

function listControls (fixture: FleetFixture): FleetControl[] {
  return fixture.daemons.flatMap(daemon => daemon?.control ?? [])
}

/** Waits until a control VM is a voter that has the given version. */
async function waitUntilWhole (fixture: FleetFixture, index: number, routesVersion: number): Promise<void> {
  await waitUntil(() => {
    const { host } = getControl(fixture, index)
    const leader = listControls(fixture).find(control => isLeading(control.host))?.host.replica
    return leader !== undefined && voters(leader).includes(host.id) && getRoutesVersion(host.machine.config) === routesVersion
  })
}

async function readVersion (fixture: FleetFixture): Promise<number> {
  let version = -1
  await waitUntil(async () => {
    for (const control of listControls(fixture)) {
      version = await readRoutes(control).then(result => result.routesVersion, () => -1)
      if (version >= 0) return true
    }
    return false
  })
  return version
}

// Guards against control VMs that run out of memory or disk, at each start too, since the log holds hundreds of whole configurations.
test('a log of large changes is replaced by a snapshot before it is large', async () => {
  await using fixture = await startFleetFixture(0)
  const version = await replaceRoutes(fixture, 700, 40)
  for (const control of listControls(fixture)) {
    const { size } = await stat(join(control.host.env.folder, 'log'))
    assert.ok(size < maxLogBytes, `a log of ${size} bytes`)
  }
  assert.equal(await readVersion(fixture), version)
})

// Guards against a control VM that refuses the parts in which a large entry arrives over a link that loses it as a whole.
test('an entry that arrives in parts is applied', async () => {
  await using fixture = await startFleetFixture(0)
  const version = await replaceRoutes(fixture, 1, 1)
  const { host, node } = getControl(fixture, 2)
  await waitUntil(() => getRoutesVersion(host.machine.config) === version)
  for (const index of [0, 1]) {
    await fixture.daemons[index]?.[Symbol.asyncDispose]()
    fixture.daemons[index] = undefined
  }
  const replica = host.replica as Replica
  const from = replica.members.find(member => member.id !== host.id)?.id as HolderId
  const term = replica.term + 1
  const prevIndex = lastIndex(replica)
  const command = createReplaceRoutesCommand('parts', version, version + 1, createRoutes(700, 1))
  const text = JSON.stringify({ index: prevIndex + 1, term, at: getCurrentTime(), body: { type: 'command', command } })
  const partSize = 65_536
  for (let offset = 0; offset < text.length; offset += partSize) {
    const part = { term, size: text.length, checksum: crc32(text), offset, text: text.slice(offset, offset + partSize) }
    const message = { type: 'append', term, prevIndex, prevTerm: replica.entries.at(-1)?.term ?? 0, entries: [], part, commit: prevIndex + 1, round: 1, answeredAt: null, confirmedAgeMs: null }
    await callPeer(node.client, node.cfg.rpc, 'log.message', { cluster: replica.cluster, from, to: host.id, message })
  }
  assert.ok(text.length > partSize)
  await waitUntil(() => getRoutesVersion(host.machine.config) === version + 1)
})

for (const controlCount of [3, 5]) {
  // Guards against copies that never catch up and copies that are gone but still count as voters: the next loss then takes the quorum.
  test(`${controlCount} control VMs lose their disks in turn over slow links and nothing confirmed is lost`, async () => {
    await using fixture = await startFleetFixture(0, { controlCount, slowLinks: betweenRegions })
    let version = await replaceRoutes(fixture, 700, 12)
    for (const index of [controlCount - 1, 0, 1]) {
      await loseDisk(fixture, index)
      await waitUntilWhole(fixture, index, version)
      version = await replaceRoutes(fixture, 700, 2, version)
    }
    const leader = listControls(fixture).find(control => isLeading(control.host)) as FleetControl
    const startedAt = getCurrentTime()
    await loseDisk(fixture, fixture.settings.findIndex(({ rpc }) => rpc === getHolderVm(leader.host.id)))
    assert.equal(await readVersion(fixture), version)
    assert.ok(getCurrentTime() - startedAt < 10_000, `read back after ${getCurrentTime() - startedAt} ms`)
  })
}
