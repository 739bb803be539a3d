/** A fake backend server: processes requests, records them in the history, and can drain and crash. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { brandId, hashText } from '@lynxcourse/base'
import type { FailureDomainId, Random, ServerId, ServiceId } from '@lynxcourse/base'
import type { BackendAnnouncement } from '@lynxcourse/state'
import { sleep } from '../support/processes.js'
import { resumeAccepting, startFaultProxy, stopAccepting } from './faultProxy.js'
import type { FaultProxy } from './faultProxy.js'
import { crashPath, longPath } from './history.js'
import type { InjectedFault, SoakHistory, Run } from './history.js'

const slots = 4
const queueLimit = 6
const minWorkMs = 15
const maxWorkMs = 120
/** Processing time of requests on the long path, well within the routes' timeout. */
const longWorkMs = 900
/** Processing time until a request on the crash path ends the server, and time until its next lifetime. */
const crashAfterMs = 40
const restartDelayMs = 1500
/** One in this many servers keeps processing a request after its connection has closed. */
const ignoreCloseEvery = 5
const answerBytes = 1500

/** A series of server lifetimes, one after the other, at the same address. */
export interface FakeServer extends AsyncDisposable {
  readonly place: number
  readonly proxy: FaultProxy
  readonly history: SoakHistory
  readonly random: Random
  facts: BackendAnnouncement
  server: Server | undefined
  lifetimes: number
  isDisposed: boolean
  running: number
  waiting: Array<() => void>
  /** Requests per second that the server says it takes from all VMs together; undefined for none. */
  limit: number | undefined
  /** Time for which the server asks each VM for no requests, while it turns all requests away; undefined if it serves them. */
  pauseMs: number | undefined
  /** Fraction of the requests that the server turns away although it has room. */
  shedFraction: number
  /** Whether its answers say that it leaves. */
  saysLeaving: boolean
}

/** Creates a server and its proxy; the server listens, but is not announced yet. */
export async function createFakeServer (place: number, service: ServiceId, domain: FailureDomainId, history: SoakHistory, random: Random): Promise<FakeServer> {
  // An address of its own: on a shared one, an outgoing connection could take the port of a server that is down.
  const proxy = await startFaultProxy('127.0.0.1:1', `127.0.40.${place + 1}`)
  const fake: FakeServer = {
    place,
    proxy,
    history,
    random,
    facts: { id: brandId<ServerId>(''), service, address: proxy.address, failureDomain: domain, slots, software: 'stub', isDraining: false, bornAt: 0, seq: 0, coldMs: 0 },
    server: undefined,
    lifetimes: 0,
    isDisposed: false,
    running: 0,
    waiting: [],
    limit: undefined,
    pauseMs: undefined,
    shedFraction: 0,
    saysLeaving: false,
    [Symbol.asyncDispose]: async () => {
      fake.isDisposed = true
      await endLifetime(fake)
      await proxy[Symbol.asyncDispose]()
    }
  }
  await startLifetime(fake, service)
  return fake
}

/** Starts a new lifetime, possibly of another service, at the same address. */
export async function startLifetime (fake: FakeServer, service: ServiceId): Promise<void> {
  fake.lifetimes += 1
  fake.running = 0
  fake.waiting = []
  fake.limit = undefined
  fake.pauseMs = undefined
  fake.saysLeaving = false
  const id = brandId<ServerId>(`server-${fake.place}-${fake.lifetimes}`)
  fake.facts = { ...fake.facts, id, service, isDraining: false, seq: 0 }
  const server = createServer((req, res) => {
    handleRequest(fake, id, req, res).catch(() => res.destroy())
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  fake.server = server
  fake.proxy.target = `127.0.0.1:${(server.address() as AddressInfo).port}`
  await resumeAccepting(fake.proxy)
}

/** Ends the lifetime immediately: open connections are closed, new ones refused, and running requests are lost. */
export async function endLifetime (fake: FakeServer): Promise<void> {
  const { server } = fake
  fake.server = undefined
  stopAccepting(fake.proxy)
  server?.closeAllConnections()
  await new Promise<void>(resolve => server === undefined ? resolve() : server.close(() => resolve()))
}

/** Ends the lifetime that runs a request, and starts the next one, unless the server is being replaced anyway. */
async function crashLifetime (fake: FakeServer, self: ServerId): Promise<void> {
  if (fake.server === undefined || fake.facts.id !== self) return
  const { isDraining, service } = fake.facts
  const fault: { -readonly [Key in keyof InjectedFault]: InjectedFault[Key] } = { subject: self, kind: 'crash', from: performance.now(), until: Infinity }
  fake.history.disturbances.push(fault)
  await endLifetime(fake)
  await sleep(restartDelayMs)
  if (!isDraining && !fake.isDisposed) await startLifetime(fake, service)
  fault.until = performance.now()
}

/** Creates the answer that a given server must give to a given request. */
export function createAnswerText (server: string, id: string): string {
  const hash = hashText(`${server} ${id}`).toString(16)
  return `${server} ${id} ${hash.repeat(Math.ceil(answerBytes / hash.length))}`
}

async function handleRequest (fake: FakeServer, self: ServerId, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const id = String(req.headers['idempotency-key'] ?? '')
  const closed = new Promise<void>(resolve => res.once('close', () => resolve()))
  const body = await readText(req)
  const readAt = performance.now()
  res.setHeader('idempotency-key', id)
  res.setHeader('lynx-load', String(fake.running + fake.waiting.length))
  if (fake.limit !== undefined) res.setHeader('lynx-server-limit', String(fake.limit))
  if (fake.saysLeaving) res.setHeader('lynx-server-leaving', '1')
  if (req.headers['lynx-expect-server'] !== self) {
    res.writeHead(421).end()
    return
  }
  fake.history.arrivals.push({ id, server: self, service: fake.facts.service, at: readAt })
  if (fake.pauseMs !== undefined) {
    fake.history.pauses.push({ id, server: self, at: performance.now(), forMs: fake.pauseMs })
    res.writeHead(503, { 'lynx-not-started': 'paused', 'retry-after': String(fake.pauseMs / 1000) }).end()
    return
  }
  if (fake.waiting.length >= queueLimit || (fake.shedFraction > 0 && fake.random() < fake.shedFraction)) {
    res.writeHead(503, { 'lynx-not-started': 'full' }).end()
    return
  }
  const cancelled = fake.place % ignoreCloseEvery === ignoreCloseEvery - 1 ? new Promise<void>(() => undefined) : closed
  if (fake.running >= slots && !(await waitForSlot(fake, cancelled))) return
  const run = recordRun(fake, self, req, body, readAt)
  closed.then(() => { if (!res.writableFinished) run.cutAt = performance.now() }, () => undefined)
  if (run.path === crashPath) {
    await sleep(crashAfterMs)
    await crashLifetime(fake, self)
  } else {
    await processRequest(fake, run, cancelled, res)
  }
}

/** Waits for a slot; returns false if the request was cancelled first. */
async function waitForSlot (fake: FakeServer, cancelled: Promise<void>): Promise<boolean> {
  const { waiting } = fake
  let grant = (): void => undefined
  const granted = new Promise<void>(resolve => { grant = resolve })
  waiting.push(grant)
  await Promise.race([granted, cancelled])
  const index = waiting.indexOf(grant)
  if (index >= 0) waiting.splice(index, 1)
  return index < 0
}

function recordRun (fake: FakeServer, self: ServerId, req: IncomingMessage, body: string, readAt: number): Run {
  const { service, failureDomain } = fake.facts
  const id = String(req.headers['idempotency-key'] ?? '')
  const left = req.headers['lynx-deadline-ms']
  const leftMs = left === undefined ? undefined : Number(left)
  const workMs = req.url === longPath ? longWorkMs : minWorkMs + fake.random() * (maxWorkMs - minWorkMs)
  const team = req.headers['lynx-team']?.toString()
  const run: Run = { id, path: req.url ?? '', body, server: self, service, failureDomain, team, headerText: req.rawHeaders.join(), at: performance.now(), readAt, leftMs, workMs, saysLeaving: false, endedAt: undefined, cutAt: undefined }
  fake.history.runs.push(run)
  return run
}

/** Occupies a slot until the processing time has passed or the request is cancelled, then answers. */
async function processRequest (fake: FakeServer, run: Run, cancelled: Promise<void>, res: ServerResponse): Promise<void> {
  fake.running += 1
  await Promise.race([sleep(run.workMs), cancelled])
  run.endedAt = performance.now()
  if (fake.facts.id !== run.server) return
  fake.running -= 1
  fake.waiting.shift()?.()
  if (res.destroyed) return
  res.setHeader('lynx-server', run.server)
  if (fake.saysLeaving) res.setHeader('lynx-server-leaving', '1')
  run.saysLeaving = fake.saysLeaving
  res.end(createAnswerText(run.server, run.id))
}

async function readText (req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk)
  return Buffer.concat(chunks).toString('utf8')
}
