/** A fixture for tests: a daemon with both roles in this process, and backend servers. */
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

/** Short times, so that tests are fast. */
export const testTimes = { electionMs: 300, heartbeatMs: 50, syncMs: 100, reportMs: 100, slowStartMs: 1 }

/** Time without a leader after which a change fails. */
const leaderTimeoutMs = 15_000

/**
 * Waits until a condition is true; fails after 15 s. A condition that throws counts as false.
 *
 * @param event description of the condition, for the error
 */
export async function waitForEvent (event: string, condition: () => Promise<boolean> | boolean): Promise<void> {
  const deadline = Date.now() + 15_000
  while (Date.now() < deadline) {
    if (await Promise.resolve().then(condition).catch(() => false)) return
    await new Promise(resolve => setTimeout(resolve, 20))
  }
  throw new Error(`did not happen in time: ${event}`)
}

/** A running daemon with its RPC client. */
export interface DaemonFixture extends AsyncDisposable {
  readonly daemon: Daemon
  readonly http: string
  readonly rpc: string
  readonly client: RpcClient
  /** Submits a change and waits for its answer. */
  change: (fields: object, changeId?: string) => Promise<{ ok: boolean }>
}

let changeCount = 0

/** Creates the settings of a single VM on loopback with free ports. */
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

/** Starts a daemon that is the only VM of its cluster, and publishes a profile for the service `offers`. */
export async function startDaemonFixture (extra: Partial<SettingsInput> = {}, profile: object = {}): Promise<DaemonFixture> {
  const folder = await mkdtemp(join(tmpdir(), 'lynxcourse-test-'))
  const cfg = settingsSchema.parse(await createSingleVmSettings(folder, { times: testTimes, ...extra }))
  const daemon = await startDaemon(cfg, cfg.callerBlocks, { logs: createSilentLogs(), seed: testSeed })
  const client = createRpcClient({ timeoutMs: 3000, localAddress: '', tls: () => undefined, metrics: undefined })
  const { rpc, http } = cfg.listen
  const fixture: DaemonFixture = {
    daemon,
    http: `http://${http}`,
    rpc,
    client,
    change: async (fields, changeId) => {
      const change = { changeId: changeId ?? `change-${testSeed}-${changeCount++}`, operator: 'test', ...fields }
      return await retryWithoutLeader(async () => await callPeer(client, rpc, 'change.submit', { change }))
    },
    [Symbol.asyncDispose]: async () => {
      await client[Symbol.asyncDispose]()
      await daemon[Symbol.asyncDispose]()
      await rm(folder, { recursive: true, force: true })
    }
  }
  try {
    await initCluster(fixture, profile)
  } catch (err) {
    // A daemon that is not stopped would keep the test process running.
    await fixture[Symbol.asyncDispose]()
    throw err
  }
  return fixture
}

/** Forms the cluster and publishes the profile. */
async function initCluster ({ client, rpc, change }: DaemonFixture, profile: object): Promise<void> {
  const info = await callPeer<{ id: string }>(client, rpc, 'cluster.info', {})
  await callPeer(client, rpc, 'cluster.init', { cluster: 'test-cluster', voters: [info.id] })
  await waitForEvent('the VM leads', async () => (await callPeer<{ current: boolean }>(client, rpc, 'query.status', {})).current)
  await change({ type: 'publishProfile', expectedVersion: 0, profile: { name: 'desk', places: ['kochi', 'chennai'], ...profile } })
  await change({ type: 'pickProfile', service: 'offers', profile: 'desk' })
}

/**
 * Retries a change under its id while there is no leader. On a busy machine the only voter may be delayed for longer than
 * the election timeout, which is not what the tests of changes are about.
 */
async function retryWithoutLeader<Answer> (submit: () => Promise<Answer>): Promise<Answer> {
  const deadline = getCurrentTime() + leaderTimeoutMs
  for (;;) {
    try {
      return await submit()
    } catch (err) {
      if (!isLynxError(err, 'notLeader') || getCurrentTime() > deadline) throw err
      await new Promise(resolve => setTimeout(resolve, 50))
    }
  }
}

/** A running backend server. */
export interface TestBackend extends AsyncDisposable {
  readonly address: string
  readonly name: string
  /** Number of requests by request id. */
  readonly requestCounts: Map<string, number>
  handler: (req: IncomingMessage, res: ServerResponse) => void
  /** Announces the server and returns the status of the response. */
  announce: (fields?: object) => Promise<number>
}

let backendCount = 0

/** Starts a backend server that echoes the header `x-echo`, and announces it. */
export async function startTestBackend (fixture: DaemonFixture, fields: object = {}): Promise<TestBackend> {
  const requestCounts = new Map<string, number>()
  const server = createServer((req, res) => {
    const id = req.headers['idempotency-key']
    if (req.url !== '/load' && typeof id === 'string') requestCounts.set(id, (requestCounts.get(id) ?? 0) + 1)
    backend.handler(req, res)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const name = `offers-${backendCount++}`
  let seq = 0
  const backend: TestBackend = {
    address,
    name,
    requestCounts,
    handler: (req, res) => { res.end(`echo ${String(req.headers['x-echo'])}`) },
    announce: async (extraFields = {}) => {
      const body = { server: name, service: 'offers', address, failureDomain: 'kochi-a', slots: 3, connections: 330, state: 'serving', incarnation: 1, seq: seq++, ...fields, ...extraFields }
      const res = await request(`${fixture.http}/v1/announce`, { method: 'POST', body: JSON.stringify(body) })
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
