/** Backend servers outside the VMs: each answers requests in drawn ways and records its runs. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { isWholeText } from './texts.js'
import { answerStyles } from './answerStyles.js'
import type { AnswerTask } from './answerStyles.js'
import { defaultWeights, planAnswer } from './answerPlan.js'
import type { AnswerPlan, AnswerWeights } from './answerPlan.js'
import { startForwarder } from './forwarder.js'
import type { Forwarder, LinkSettings } from './forwarder.js'
import type { ObservedRun, ShutdownHistory } from './types.js'

/** Settings of a group of servers. */
export interface ServerOptions {
  /** Prefix of the servers' ids; `server` if undefined. */
  readonly name?: string
  readonly count: number
  readonly seed: number
  readonly history: ShutdownHistory
  /** Weights of the ways to answer; the default ones if undefined. */
  readonly weights?: AnswerWeights
  /** Link between the VMs and each server; undefined for direct connections. */
  readonly link?: LinkSettings
}

/** A running server. */
export interface ShutdownServer {
  readonly id: string
  /** `IP:port` to announce. */
  readonly address: string
}

/** Running servers of one service. */
export interface ShutdownServers extends AsyncDisposable {
  readonly servers: readonly ShutdownServer[]
}

/** Time limit of requests that name none. */
const defaultLimitMs = 1000

interface ServerContext {
  readonly id: string
  readonly options: ServerOptions
  /** Ids of the requests that any server has received; a second try is answered. */
  readonly tried: Set<string>
  running: number
}

/** Starts servers, each at a loopback address of its own. */
export async function startServers (options: ServerOptions): Promise<ShutdownServers> {
  const tried = new Set<string>()
  const started: Array<{ server: Server, forwarder: Forwarder | undefined, facts: ShutdownServer }> = []
  for (let place = 0; place < options.count; place++) {
    started.push(await startServer({ id: `${options.name ?? 'server'}-${place}`, options, tried, running: 0 }, `127.0.60.${place + 1}`))
  }
  return {
    servers: started.map(({ facts }) => facts),
    [Symbol.asyncDispose]: async () => {
      await Promise.all(started.map(async ({ server, forwarder }) => {
        const closed = new Promise<void>(resolve => server.close(() => resolve()))
        server.closeAllConnections()
        await Promise.all([closed, forwarder?.[Symbol.asyncDispose]()])
      }))
    }
  }
}

async function startServer (context: ServerContext, host: string): Promise<{ server: Server, forwarder: Forwarder | undefined, facts: ShutdownServer }> {
  const server = createServer({ keepAliveTimeout: 0, requestTimeout: 0, headersTimeout: 0 }, (req, res) => {
    handleRequest(context, req, res).catch(() => res.destroy())
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, host, resolve)
  })
  const address = `${host}:${(server.address() as AddressInfo).port}`
  const { link } = context.options
  const forwarder = link === undefined ? undefined : await startForwarder(address, link, host)
  return { server, forwarder, facts: { id: context.id, address: forwarder?.address ?? address } }
}

async function handleRequest (context: ServerContext, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const id = String(req.headers['idempotency-key'] ?? '')
  // A request that doesn't arrive completely is not run.
  const body = await readText(req)
  if (res.destroyed) return
  res.setHeader('idempotency-key', id)
  res.setHeader('lynx-server', context.id)
  res.setHeader('lynx-load', String(context.running))
  if (req.headers['lynx-expect-server'] !== context.id) {
    res.writeHead(421).end()
    return
  }
  const limitMs = Number(req.headers['lynx-deadline-ms'] ?? defaultLimitMs)
  const plan = planRun(context, id, limitMs)
  const run = recordRun(context, id, plan, body, req.method === 'GET')
  context.running += 1
  try {
    await runRequest({ server: context.id, id, plan, res }, run)
  } finally {
    context.running -= 1
  }
}

function planRun ({ options, tried }: ServerContext, id: string, limitMs: number): AnswerPlan {
  const isSecondTry = tried.has(id)
  tried.add(id)
  const habit = options.history.requests.get(id)?.habit
  return planAnswer(id, { seed: options.seed, weights: options.weights ?? defaultWeights, limitMs, habit, isSecondTry })
}

function recordRun ({ id: server, options: { history } }: ServerContext, id: string, plan: AnswerPlan, body: string, isGet: boolean): ObservedRun {
  const hasWholeBody = isGet ? body === '' : isWholeText(body, 'caller', id)
  const vm = history.requests.get(id)?.vm ?? 'unknown'
  const run: ObservedRun = { id, server, vm, kind: plan.kind, startedAt: performance.now(), endedAt: undefined, hasFailed: false, wasCutOff: false, hasWholeBody }
  history.runs.push(run)
  return run
}

/** Works on a request until it is answered or its connection closes. */
async function runRequest (task: AnswerTask, run: ObservedRun): Promise<void> {
  const { res, plan } = task
  const style = answerStyles[plan.kind]
  const closed = new Promise<void>(resolve => res.once('close', () => resolve()))
  const finished = new Promise<void>(resolve => res.once('finish', () => resolve()))
  await waitUnlessClosed(plan.delayMs, closed)
  if (!res.destroyed) {
    run.hasFailed = style.fails
    await style.answer(task, async ms => await waitUnlessClosed(ms, closed))
  }
  await Promise.race([closed, finished])
  run.endedAt = performance.now()
  run.wasCutOff = !res.writableFinished && !run.hasFailed
}

async function waitUnlessClosed (ms: number, closed: Promise<void>): Promise<void> {
  let timer: NodeJS.Timeout | undefined
  const passed = new Promise<void>(resolve => { timer = setTimeout(resolve, ms) })
  await Promise.race([passed, closed])
  clearTimeout(timer)
}

async function readText (req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk)
  return Buffer.concat(chunks).toString('latin1')
}
