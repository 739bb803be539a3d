/** A stand-in backend server of a soak: runs requests, keeps account of them, announces itself, drains and crashes. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { brandId, hashText } from '@lynxcourse/base'
import type { FailureDomainId, Random, ServerId, ServiceId } from '@lynxcourse/base'
import type { BackendAnnouncement } from '@lynxcourse/state'
import { sleep } from '../support/processes.js'
import { startFaultProxy } from './faultProxy.js'
import type { FaultProxy } from './faultProxy.js'
import { longPath } from './ledger.js'
import type { Ledger, Run } from './ledger.js'

const slots = 4
const queue = 6
const shortestWorkMs = 15
const longestWorkMs = 120
/** Work of requests on the long path, well inside the routes' timeout. */
const longWorkMs = 900
/** One in so many servers works on when its connection closes. */
const goingOnEvery = 5
const answerBytes = 1500

/** One place at which lifetimes of servers follow each other at the same address. */
export interface StubServer extends AsyncDisposable {
  readonly place: number
  readonly proxy: FaultProxy
  readonly ledger: Ledger
  readonly random: Random
  facts: BackendAnnouncement
  server: Server | undefined
  lifetimes: number
  running: number
  waiting: Array<() => void>
}

/** Makes a server and its forwarder; it listens, and announces nothing yet. */
export async function createStubServer (place: number, service: ServiceId, domain: FailureDomainId, ledger: Ledger, random: Random): Promise<StubServer> {
  const proxy = await startFaultProxy('127.0.0.1:1')
  const stub: StubServer = {
    place,
    proxy,
    ledger,
    random,
    facts: { id: brandId<ServerId>(''), service, address: proxy.address, failureDomain: domain, slots, software: 'stub', isDraining: false, bornAt: 0, seq: 0, coldMs: 0 },
    server: undefined,
    lifetimes: 0,
    running: 0,
    waiting: [],
    [Symbol.asyncDispose]: async () => {
      await endLifetime(stub)
      await proxy[Symbol.asyncDispose]()
    }
  }
  await startLifetime(stub, service)
  return stub
}

/** Starts a new lifetime, perhaps of another service, at the address of the former one. */
export async function startLifetime (stub: StubServer, service: ServiceId): Promise<void> {
  stub.lifetimes += 1
  stub.running = 0
  stub.waiting = []
  const id = brandId<ServerId>(`server-${stub.place}-${stub.lifetimes}`)
  stub.facts = { ...stub.facts, id, service, isDraining: false, seq: 0 }
  const server = createServer((req, res) => {
    serve(stub, id, req, res).catch(() => res.destroy())
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  stub.server = server
  stub.proxy.target = `127.0.0.1:${(server.address() as AddressInfo).port}`
}

/** Ends the lifetime at once: open connections are closed, and what runs is lost. */
export async function endLifetime (stub: StubServer): Promise<void> {
  const { server } = stub
  stub.server = undefined
  server?.closeAllConnections()
  await new Promise<void>(resolve => server === undefined ? resolve() : server.close(() => resolve()))
}

/** The one right answer of a server to a request. */
export function answerText (server: string, id: string): string {
  const word = hashText(`${server} ${id}`).toString(16)
  return `${server} ${id} ${word.repeat(Math.ceil(answerBytes / word.length))}`
}

async function serve (stub: StubServer, self: ServerId, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const id = String(req.headers['idempotency-key'] ?? '')
  const closed = new Promise<void>(resolve => res.once('close', () => resolve()))
  const body = await readText(req)
  const readAt = performance.now()
  res.setHeader('idempotency-key', id)
  res.setHeader('lynx-load', String(stub.running + stub.waiting.length))
  if (req.headers['lynx-expect-server'] !== self) {
    res.writeHead(421).end()
    return
  }
  stub.ledger.arrivals.push({ id, server: self, service: stub.facts.service, at: readAt })
  if (stub.waiting.length >= queue) {
    res.writeHead(503, { 'lynx-not-started': 'full' }).end()
    return
  }
  const stop = stub.place % goingOnEvery === goingOnEvery - 1 ? new Promise<void>(() => undefined) : closed
  if (stub.running >= slots && !(await hasTurn(stub, stop))) return
  const run = beginRun(stub, self, req, body, readAt)
  closed.then(() => { if (!res.writableFinished) run.cutAt = performance.now() }, () => undefined)
  await work(stub, run, stop, res)
}

/** Waits for a slot; false if the request was given up meanwhile. */
async function hasTurn (stub: StubServer, stop: Promise<void>): Promise<boolean> {
  const { waiting } = stub
  let begin = (): void => undefined
  const turn = new Promise<void>(resolve => { begin = resolve })
  waiting.push(begin)
  await Promise.race([turn, stop])
  const place = waiting.indexOf(begin)
  if (place >= 0) waiting.splice(place, 1)
  return place < 0
}

function beginRun (stub: StubServer, self: ServerId, req: IncomingMessage, body: string, readAt: number): Run {
  const { service, failureDomain } = stub.facts
  const id = String(req.headers['idempotency-key'] ?? '')
  const left = req.headers['lynx-deadline-ms']
  const leftMs = left === undefined ? undefined : Number(left)
  const workMs = req.url === longPath ? longWorkMs : shortestWorkMs + stub.random() * (longestWorkMs - shortestWorkMs)
  const run: Run = { id, path: req.url ?? '', body, server: self, service, failureDomain, at: performance.now(), readAt, leftMs, workMs, endedAt: undefined, cutAt: undefined }
  stub.ledger.runs.push(run)
  return run
}

/** Works until the answer is due or the request is given up. */
async function work (stub: StubServer, run: Run, stop: Promise<void>, res: ServerResponse): Promise<void> {
  stub.running += 1
  await Promise.race([sleep(run.workMs), stop])
  run.endedAt = performance.now()
  if (stub.facts.id !== run.server) return
  stub.running -= 1
  stub.waiting.shift()?.()
  if (res.destroyed) return
  res.setHeader('lynx-server', run.server)
  res.end(answerText(run.server, run.id))
}

async function readText (req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk)
  return Buffer.concat(chunks).toString('utf8')
}
