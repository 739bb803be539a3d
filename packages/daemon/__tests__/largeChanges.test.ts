/** Many and large changes, and control VMs whose disks are lost meanwhile. */
import assert from 'node:assert/strict'
import { stat } from 'node:fs/promises'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { join } from 'node:path'
import { test } from 'node:test'
import { crc32, gunzipSync } from 'node:zlib'
import { lastIndex, voters } from '@lynxcourse/agreement'
import type { Replica } from '@lynxcourse/agreement'
import { getHolderVm } from '@lynxcourse/base'
import type { HolderId } from '@lynxcourse/base'
import { callPeer, getCurrentTime, isLeading, readRoutes } from '@lynxcourse/daemon'
import type { FleetControl, FleetSettings } from '@lynxcourse/daemon'
import { getRoutesVersion } from '@lynxcourse/state'
import type { Route } from '@lynxcourse/state'
import { createReplaceRoutesCommand, createRouteToDesk, getControl, loseDisk, startFleetFixture, submitCommand, waitUntil } from './support/fleetFixture.js'
import type { FleetFixture } from './support/fleetFixture.js'
import type { SlowLinkCfg } from './support/slowForwarder.js'

/** Bound on the log file of a control VM whose snapshot is small; it is compacted at half of this. */
const maxLogBytes = 2_097_152
/** An entry that is larger than a message with several entries may be, in characters. */
const largeEntrySize = 262_144
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

/** What the tests read of a message of the log. */
interface LogCall { readonly method: string, readonly params: { readonly message: { readonly part?: object, readonly entries?: readonly object[] } } }

/** Answers as a control VM of an earlier version, which refuses parts of entries, and records the calls. */
function startEarlierVm (address: string, calls: LogCall[]): Server {
  const [host, port] = address.split(':')
  return createServer((req, res) => {
    const chunks: Buffer[] = []
    req.on('data', (chunk: Buffer) => chunks.push(chunk))
    req.once('end', () => {
      const body = Buffer.concat(chunks)
      const call = JSON.parse((req.headers['content-encoding'] === undefined ? body : gunzipSync(body)).toString()) as LogCall
      calls.push(call)
      const outcome = call.params.message?.part === undefined ? { result: {} } : { error: { code: 1, message: 'request is not valid: part', data: { code: 'badRequest' } } }
      res.end(JSON.stringify({ jsonrpc: '2.0', id: 1, ...outcome }))
    })
  }).listen(Number(port), host)
}

// Guards against a control VM that sends parts again and again to one of an earlier version, which refuses each of them.
test('a control VM that refuses parts of an entry is sent the whole entry', async () => {
  await using fixture = await startFleetFixture(0)
  const version = await replaceRoutes(fixture, 1, 1)
  const follower = [0, 1, 2].find(index => !isLeading(getControl(fixture, index).host)) as number
  const { rpc } = fixture.settings[follower] as FleetSettings
  await fixture.daemons[follower]?.[Symbol.asyncDispose]()
  fixture.daemons[follower] = undefined
  await replaceRoutes(fixture, 2000, 1, version)
  const calls: LogCall[] = []
  await using server = startEarlierVm(rpc, calls)
  const isRefused = ({ params }: LogCall): boolean => params.message?.part !== undefined
  const isWhole = ({ params }: LogCall): boolean => JSON.stringify(params.message?.entries ?? []).length > largeEntrySize
  await waitUntil(() => calls.some(isRefused) && calls.slice(calls.findIndex(isRefused)).some(isWhole))
  server.closeAllConnections()
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
