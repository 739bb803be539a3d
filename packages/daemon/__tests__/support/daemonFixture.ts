/** One daemon with both roles in this process, and small stand-in backend servers. */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { mkdtemp, rm } from 'node:fs/promises'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { isLynxError } from '@lynxcourse/base'
import { callPeer, createRpcClient, getCurrentTime, settingsSchema, createSilentLogs, startDaemon } from '@lynxcourse/daemon'
import type { Daemon, RpcClient, SettingsInput } from '@lynxcourse/daemon'
import { request } from 'undici'
import { findFreePort } from './freePorts.js'

export const testSeed = 31

/** Short times, so that tests end soon. */
export const testTimes = { electionMs: 300, heartbeatMs: 50, syncMs: 100, reportMs: 100, slowStartMs: 1 }

/** How long nobody may lead before a change counts as failed. */
const unledMs = 15_000

export async function waitForEvent (what: string, test: () => Promise<boolean> | boolean): Promise<void> {
  const end = Date.now() + 15_000
  while (Date.now() < end) {
    if (await Promise.resolve().then(test).catch(() => false)) return
    await new Promise(resolve => setTimeout(resolve, 20))
  }
  throw new Error(`did not happen: ${what}`)
}

export interface DaemonFixture extends AsyncDisposable {
  readonly daemon: Daemon
  readonly http: string
  readonly rpc: string
  readonly client: RpcClient
  change: (fields: object, changeId?: string) => Promise<{ ok: boolean }>
}

let changes = 0

/** A settings object for one VM on loopback. */
export async function createSingleVmSettings (folder: string, extra: Partial<SettingsInput> = {}): Promise<SettingsInput> {
  const [http, rpc, metrics] = [await findFreePort(), await findFreePort(), await findFreePort()].map(port => `127.0.0.1:${port}`) as [string, string, string]
  return {
    vm: 'vm-1',
    region: 'kochi',
    failureDomain: 'kochi-a',
    roles: ['entry', 'control'],
    listen: { http, rpc, metrics },
    dataFolder: folder,
    seeds: [{ vm: 'vm-1', region: 'kochi', rpc }],
    topology: { regions: { kochi: ['kochi-a'], chennai: ['chennai-a'] } },
    ...extra
  } as SettingsInput
}

/** Starts a daemon that is its own cluster, with a profile for the service `offers`. */
export async function startDaemonFixture (extra: Partial<SettingsInput> = {}, profile: object = {}): Promise<DaemonFixture> {
  const folder = await mkdtemp(join(tmpdir(), 'lynxcourse-test-'))
  const cfg = settingsSchema.parse(await createSingleVmSettings(folder, { times: testTimes, ...extra }))
  const daemon = await startDaemon(cfg, cfg.callerBlocks, { logs: createSilentLogs(), seed: testSeed })
  const client = createRpcClient({ timeoutMs: 3000, localAddress: '', tls: () => undefined, metrics: undefined })
  const { rpc, http } = cfg.listen
  const rig: DaemonFixture = {
    daemon,
    http: `http://${http}`,
    rpc,
    client,
    change: async (fields, changeId) => {
      const change = { changeId: changeId ?? `change-${testSeed}-${changes++}`, operator: 'test', ...fields }
      return await whileUnled(async () => await callPeer(client, rpc, 'change.submit', { change }))
    },
    [Symbol.asyncDispose]: async () => {
      await client[Symbol.asyncDispose]()
      await daemon[Symbol.asyncDispose]()
      await rm(folder, { recursive: true, force: true })
    }
  }
  try {
    await found(rig, profile)
  } catch (err) {
    // A daemon that lives on would hold the whole test file up.
    await rig[Symbol.asyncDispose]()
    throw err
  }
  return rig
}

async function found ({ client, rpc, change }: DaemonFixture, profile: object): Promise<void> {
  const info = await callPeer<{ id: string }>(client, rpc, 'cluster.info', {})
  await callPeer(client, rpc, 'cluster.init', { cluster: 'test-cluster', voters: [info.id] })
  await waitForEvent('the VM leads', async () => (await callPeer<{ current: boolean }>(client, rpc, 'query.status', {})).current)
  await change({ type: 'publishProfile', expectedVersion: 0, profile: { name: 'desk', places: ['kochi', 'chennai'], ...profile } })
  await change({ type: 'pickProfile', service: 'offers', profile: 'desk' })
}

/**
 * Sends a change again, under its id, while nobody leads. Beside busy processes the one voter may be held up for longer than a term
 * lasts; what a change does is not about that.
 */
async function whileUnled<Answer> (submit: () => Promise<Answer>): Promise<Answer> {
  const end = getCurrentTime() + unledMs
  for (;;) {
    try {
      return await submit()
    } catch (err) {
      if (!isLynxError(err, 'notLeader') || getCurrentTime() > end) throw err
      await new Promise(resolve => setTimeout(resolve, 50))
    }
  }
}

export interface TestBackend extends AsyncDisposable {
  readonly address: string
  readonly name: string
  /** How often each id ran. */
  readonly requestCounts: Map<string, number>
  handler: (req: IncomingMessage, res: ServerResponse) => void
  announce: (fields?: object) => Promise<number>
}

let backends = 0

/** Starts a stand-in server that echoes a header, and announces it. */
export async function startTestBackend (rig: DaemonFixture, fields: object = {}): Promise<TestBackend> {
  const requestCounts = new Map<string, number>()
  const server = createServer((req, res) => {
    const id = req.headers['idempotency-key']
    if (req.url !== '/load' && typeof id === 'string') requestCounts.set(id, (requestCounts.get(id) ?? 0) + 1)
    backend.handler(req, res)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const name = `offers-${backends++}`
  let seq = 0
  const backend: TestBackend = {
    address,
    name,
    requestCounts,
    handler: (req, res) => { res.end(`echo ${String(req.headers['x-echo'])}`) },
    announce: async (more = {}) => {
      const body = { server: name, service: 'offers', address, failureDomain: 'kochi-a', slots: 3, connections: 330, state: 'serving', incarnation: 1, seq: seq++, ...fields, ...more }
      const res = await request(`${rig.http}/v1/announce`, { method: 'POST', body: JSON.stringify(body) })
      await res.body.dump()
      return res.statusCode
    },
    [Symbol.asyncDispose]: async () => {
      server.closeAllConnections()
      await new Promise<void>(resolve => server.close(() => resolve()))
    }
  }
  await backend.announce()
  return backend
}
