/**
 * Fake backend servers, many in one process. Each has a few slots, sheds the requests that exceed them and
 * announces itself. The process counts how often each request id ran.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Client } from 'undici'
import { serveCommands } from './childCommands.js'

/** Identity and capacity of one fake server. */
export interface FakeServerPlan {
  readonly server: string
  readonly service: string
  readonly ip: string
  readonly failureDomain: string
  readonly slots: number
  readonly connections: number
  /** Mean service time; each request takes a random time between 50 % and 150 % of it. */
  readonly serviceMs: number
}

/** A command from the parent process. */
export type FakeServerCommand =
  | { readonly type: 'start', readonly plans: readonly FakeServerPlan[], readonly announceTo: readonly string[] }
  | { readonly type: 'leave', readonly server: string }
  | { readonly type: 'report' }

/** Counters of all servers, sent to the parent process. */
export interface FakeServerReport {
  readonly runsById: ReadonlyArray<readonly [string, number]>
  readonly servers: ReadonlyArray<{ readonly server: string, readonly served: number, readonly shed: number, readonly lastStartAt: number, readonly peak: number }>
}

interface FakeServer {
  readonly plan: FakeServerPlan
  address: string
  busy: number
  peak: number
  served: number
  shed: number
  lastStartAt: number
  seq: number
  state: 'starting' | 'serving' | 'leaving'
}

const announceIntervalMs = 1500
const servers = new Map<string, FakeServer>()
const runs = new Map<string, number>()
let announceTo: readonly string[] = []

async function startServer (plan: FakeServerPlan): Promise<void> {
  const fake: FakeServer = { plan, address: '', busy: 0, peak: 0, served: 0, shed: 0, lastStartAt: 0, seq: 0, state: 'serving' }
  const server = createServer((req, res) => handleRequest(fake, req, res))
  server.keepAliveTimeout = 60_000
  await new Promise<void>(resolve => server.listen(0, plan.ip, resolve))
  fake.address = `${plan.ip}:${(server.address() as AddressInfo).port}`
  servers.set(plan.server, fake)
  const initialDelayMs = Math.floor(Math.random() * announceIntervalMs)
  await announce(fake)
  setTimeout(() => { setInterval(() => { announce(fake).catch(() => undefined) }, announceIntervalMs) }, initialDelayMs)
}

async function announce (fake: FakeServer): Promise<void> {
  const { plan } = fake
  fake.seq += 1
  const body = JSON.stringify({
    server: plan.server,
    service: plan.service,
    address: fake.address,
    failureDomain: plan.failureDomain,
    slots: plan.slots,
    connections: plan.connections,
    load: fake.busy,
    state: fake.state,
    incarnation: startedAt,
    seq: fake.seq
  })
  for (let attempt = 0; attempt < 3; attempt++) {
    const vm = announceTo[(hash(plan.server) + attempt) % announceTo.length]
    const client = new Client(`http://${vm}`, { localAddress: plan.ip, connect: { timeout: 500 } })
    try {
      const res = await client.request({ method: 'POST', path: '/v1/announce', body, headersTimeout: 1000 })
      await res.body.dump()
      if (res.statusCode === 200) return
    } catch {
      // The VM may be dead: the next one takes the announcement as well.
    } finally {
      client.destroy().catch(() => undefined)
    }
  }
}

function hash (text: string): number {
  return [...text].reduce((sum, char) => (sum * 31 + char.charCodeAt(0)) >>> 0, 7)
}

const startedAt = Date.now()

function handleRequest (fake: FakeServer, req: IncomingMessage, res: ServerResponse): void {
  if (req.url === '/load') {
    res.end(JSON.stringify({ inFlight: fake.busy }))
    return
  }
  res.setHeader('lynx-load', fake.busy)
  if (fake.busy >= fake.plan.slots) {
    fake.shed += 1
    req.resume()
    res.writeHead(503, { 'lynx-not-started': 'true', 'retry-after': '0' }).end()
    return
  }
  startRequest(fake, req, res)
}

function startRequest (fake: FakeServer, req: IncomingMessage, res: ServerResponse): void {
  fake.busy += 1
  fake.peak = Math.max(fake.peak, fake.busy)
  fake.lastStartAt = Date.now()
  const id = req.headers['idempotency-key']
  if (typeof id === 'string') runs.set(id, (runs.get(id) ?? 0) + 1)
  req.resume()
  const { serviceMs } = fake.plan
  setTimeout(() => {
    fake.busy -= 1
    fake.served += 1
    res.end(JSON.stringify({ server: fake.plan.server, echo: req.headers['x-echo'] ?? null }))
  }, serviceMs * (0.5 + Math.random()))
}

function buildReport (): FakeServerReport {
  const serverReports = [...servers.values()].map(({ plan, served, shed, lastStartAt, peak }) => ({ server: plan.server, served, shed, lastStartAt, peak }))
  return { runsById: [...runs], servers: serverReports }
}

async function executeCommand (command: FakeServerCommand): Promise<object> {
  switch (command.type) {
    case 'start':
      announceTo = command.announceTo
      await Promise.all(command.plans.map(startServer))
      return {}
    case 'leave': {
      const fake = servers.get(command.server)
      if (fake !== undefined) {
        fake.state = 'leaving'
        await announce(fake)
      }
      return {}
    }
    case 'report': return buildReport()
  }
}

serveCommands<FakeServerCommand>(executeCommand)
