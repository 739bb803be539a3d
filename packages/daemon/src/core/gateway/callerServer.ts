/** The HTTP server that callers reach: reads requests, has them served, writes answers. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { LynxError, getErrorMessage } from '@lynxcourse/base'
import type { Millis, ServiceId } from '@lynxcourse/base'
import { createCallerLiveness, fitsIterationBudget, recordPoll, invalidateLiveness, getIterationTime } from '@lynxcourse/placement'
import type { RoutedService, IterationTime } from '@lynxcourse/placement'
import { matchRoute, selectService } from '@lynxcourse/routing'
import type { HeaderMap } from '../../types/answers.js'
import type { CancelSignal } from '../../utils/cancelSignal.js'
import { getCurrentTime } from '../../utils/clock.js'
import { isHopByHop } from '../../utils/headers.js'
import { log } from '../../utils/logging.js'
import { recordRequestRead, recordAcceptedConnection, recordCloseRead } from '../../utils/loopMonitor.js'
import { waitForPoll } from '../../utils/pollPhase.js'
import type { Call, CallAnswer } from './call.js'
import { startBody } from './callBody.js'
import type { BodyEnd, CallBody } from './callBody.js'
import type { Gateway } from './gateway.js'
import { joinPipeline, leavePipeline, tryClosing, waitForTurn } from './pipeline.js'
import type { PipelinedRequest } from './pipeline.js'
import { logRefusal, timeFields } from './requestLog.js'
import type { RefusedCall } from './requestLog.js'
import { serveCall } from './serving.js'
import { knowsRoutes, waitForRoutes } from './routeWait.js'

/** Largest head that the parser takes; the routes' own limit may be lower. */
const maxHeaderBytes = 65_536
/** Idle connections stay open this much longer than promised, so that a request just in time finds them open. */
const idleSlackMs: Millis = 2000
/** When to come back where this VM has no processor time, spread over twice that: soon, as other VMs have time, but not all at once. */
const overloadedRetryMs: Millis = 150
/** When to come back to a VM that does not know the present state yet, after it was waited for. */
const notReadyRetryMs: Millis = 500

/** Makes the server; it does not listen yet. */
export function createCallerServer (gateway: Gateway): Server {
  const server = createServer({ maxHeaderSize: maxHeaderBytes, requestTimeout: 0 }, (req, res) => {
    answerCall(gateway, req, res).catch((err: unknown) => {
      log(gateway.node.logs, 'route', 'error', 'Request not served.', { error: getErrorMessage(err) })
      res.destroy()
    })
  })
  server.on('connection', (socket: Socket) => {
    recordAcceptedConnection(gateway.loop, socket, getCurrentTime())
    recordCloseRead(gateway.loop, socket, unreadMs => {
      const isWaiting = (gateway.pipelines.get(socket)?.requests.length ?? 0) > 0
      if (isWaiting) gateway.node.metrics.closeUnreadSeconds.observe(unreadMs / 1000)
    })
  })
  return server
}

/** Takes changed limits over. */
export function applyCallerLimits (gateway: Gateway, server: Server): void {
  server.keepAliveTimeout = gateway.limits.idleTimeoutMs + idleSlackMs
  server.headersTimeout = gateway.limits.headerTimeoutMs + idleSlackMs
}

async function answerCall (gateway: Gateway, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const read = arrivalOf(gateway, req, getCurrentTime())
  const { arrivedAt } = read
  const { metrics } = gateway.node
  metrics.unreadSeconds.observe((read.readAt - arrivedAt) / 1000)
  gateway.open += 1
  metrics.inFlight.set(gateway.open)
  const body = startBody(gateway, req)
  const place = await joinPipeline(gateway.pipelines, req.socket)
  const { gone } = place
  try {
    const { service, answer } = await takeUp(gateway, { req, body, gone, arrival: read })
    metrics.requests.inc({ service, outcome: answer === undefined ? 'gone' : String(answer.status) })
    metrics.requestSeconds.observe({ service }, (getCurrentTime() - arrivedAt) / 1000)
    if (answer !== undefined && await waitForTurn(place, answer.body.length)) writeAnswer(gateway, res, answer, place)
  } finally {
    body.release()
    if (!res.writableEnded) leavePipeline(place)
    whenOut(res, () => {
      gateway.open -= 1
      metrics.inFlight.set(gateway.open)
    })
  }
}

/** A request that was read. */
interface Taken {
  readonly req: IncomingMessage
  readonly body: CallBody
  readonly gone: CancelSignal
  readonly arrival: Arrival
}

/** What became of a request; without an answer its caller has left. */
interface Served {
  readonly service: ServiceId | 'none'
  readonly answer: CallAnswer | undefined
}

/** Serves a request once its caller is known to be there, and the routes are known. */
async function takeUp (gateway: Gateway, read: Taken): Promise<Served> {
  const { req, body, gone } = read
  const arrival = await lookBehind(gateway, read.arrival)
  if (!knowsRoutes(gateway)) {
    await waitForRoutes(gateway, gone)
    arrival.workFrom = getCurrentTime()
  }
  body.judge()
  if (gone.aborted) {
    log(gateway.node.logs, 'route', 'info', 'Caller left before its request was taken up.', { path: req.url, ...timeFields(arrival) })
    return { service: 'none', answer: undefined }
  }
  const target = targetOf(gateway, req)
  if (target === undefined) return { service: 'none', answer: noRoute(gateway, req) }
  return { service: target.service, answer: await serveRequest(gateway, { req, body, gone, arrival }, target) }
}

/** Calls back once an answer is out, or can't get out any more; at once where there is none. A VM that stops waits for that. */
function whenOut (res: ServerResponse, done: () => void): void {
  if (!res.writableEnded || res.writableFinished || res.destroyed) done()
  else res.once('close', done)
}

interface Arrival extends Pick<Call, 'arrivedAt' | 'readAt' | 'caller'> {
  /** How far the turn was in which it was read. */
  readonly readTurn: IterationTime
  /** When the VM began with the requests that it takes up together with this one. */
  workFrom: Millis
}

function arrivalOf ({ loop }: Gateway, req: IncomingMessage, now: Millis): Arrival {
  const arrivedAt = recordRequestRead(loop, req.socket, now)
  const turn = getIterationTime(loop.iterations, now)
  return { arrivedAt, readAt: now, caller: createCallerLiveness(), readTurn: turn, workFrom: now }
}

/** Reads what lies behind a request: its caller may have closed the connection while it lay unread. */
async function lookBehind ({ loop }: Gateway, arrival: Arrival): Promise<Arrival> {
  const { caller, readAt, arrivedAt, readTurn } = arrival
  // A loop that slept until the request came has read all there was, and accepted all who waited.
  if (readTurn.wasIdle && arrivedAt === readAt) {
    recordPoll(caller, readAt)
    return arrival
  }
  const look = await waitForPoll(loop.polls)
  recordPoll(caller, look.beganAt)
  return { ...arrival, workFrom: look.endedAt }
}

/** The route of a request, and the service that its split gives it; undefined without a route. */
function targetOf (gateway: Gateway, req: IncomingMessage): RoutedService | undefined {
  const route = matchRoute(gateway.routeTable, req.headers.host ?? '', req.url ?? '/')
  return route === undefined ? undefined : { route, service: selectService(gateway.splits, route) }
}

async function serveRequest (gateway: Gateway, { req, body: coming, gone, arrival }: Taken, { route, service }: RoutedService): Promise<CallAnswer | undefined> {
  const { arrivedAt, readAt, caller, readTurn, workFrom } = arrival
  const facts = gateway.callers.parseCallFacts(req.headers)
  const deadline = arrivedAt + Math.min(facts.remainingMs ?? Infinity, route.timeoutMs)
  const refused: RefusedCall = { facts, route, service, arrivedAt, readAt, deadline }
  if (!fitsIterationBudget(readTurn, route.rank)) return refuseOverloaded(gateway, req, refused)
  const end = await coming.end
  if (end.type !== 'whole') return noBody(gateway, end)
  if (end.at > caller.polledAt) invalidateLiveness(caller)
  // Asked right before the work, which counts for those that are asked after this one.
  const spentMs = getCurrentTime() - Math.max(workFrom, end.at)
  if (!fitsIterationBudget({ ...readTurn, elapsedMs: spentMs }, route.rank)) return refuseOverloaded(gateway, req, refused)
  const { body } = end
  const call: Call = {
    facts,
    route,
    service,
    method: req.method ?? 'GET',
    path: req.url ?? '/',
    headers: forwardedHeaders(gateway, req),
    body: body.length === 0 ? null : body,
    arrivedAt,
    readAt,
    deadline,
    gone,
    caller,
    closeUnreadMs: () => gateway.loop.closeReadDelays.get(req.socket)
  }
  try {
    return await serveCall(gateway, call)
  } finally {
    coming.release()
  }
}

/**
 * Refuses a request for which this VM has no processor time, and ends its connection: kept open, it would bring the caller's next
 * requests here as well.
 */
function refuseOverloaded (gateway: Gateway, req: IncomingMessage, call: RefusedCall): CallAnswer {
  req.resume()
  const retryAfterMs = overloadedRetryMs * (1 + gateway.node.random())
  logRefusal(gateway, call, 0, { type: 'refuse', reason: 'overloaded', retryAfterMs })
  // A connection that is closed before its request was read whole is reset, and the answer is lost with it.
  return { ...refusal(gateway, 'this VM is overloaded', retryAfterMs), endsConnection: req.complete }
}

function noRoute (gateway: Gateway, req: IncomingMessage): CallAnswer {
  req.resume()
  // A VM that does not know the present routes can't say that there is none.
  if (!knowsRoutes(gateway)) return refusal(gateway, 'the routes are not known yet', notReadyRetryMs)
  log(gateway.node.logs, 'route', 'info', 'No route.', { host: req.headers.host, path: req.url, stateVersion: gateway.node.config.version })
  return ownAnswer(404, 'no route')
}

function refusal (gateway: Gateway, detail: string, retryAfterMs: Millis): CallAnswer {
  return { status: 503, headers: gateway.callers.buildRefusalHeaders(retryAfterMs), body: Buffer.from(`not run: ${detail}\n`) }
}

function ownAnswer (status: number, detail: string): CallAnswer {
  return { status, headers: {}, body: Buffer.from(`${detail}\n`) }
}

/** What a caller is told whose body can't be taken; undefined if it went away. */
function noBody (gateway: Gateway, end: Exclude<BodyEnd, { type: 'whole' }>): CallAnswer | undefined {
  switch (end.type) {
    case 'tooMany': return refusal(gateway, 'too many bodies are held', notReadyRetryMs)
    case 'tooLarge': return ownAnswer(413, `body over ${gateway.limits.maxBodyBytes} bytes`)
    case 'failed': throw new LynxError('badRequest', getErrorMessage(end.err), { step: 'read body', cause: end.err })
    case 'gone': return undefined
  }
}

function forwardedHeaders (gateway: Gateway, req: IncomingMessage): HeaderMap {
  const listed = new Set(String(req.headers.connection ?? '').toLowerCase().split(',').map(name => name.trim()))
  const headers: HeaderMap = {}
  for (const [name, value] of Object.entries(req.headers)) {
    if (value !== undefined && !isHopByHop(name) && !listed.has(name) && !gateway.callers.reservedHeaders.has(name)) headers[name] = value
  }
  return headers
}

function writeAnswer (gateway: Gateway, res: ServerResponse, answer: CallAnswer, place: PipelinedRequest): void {
  const headers: HeaderMap = { ...answer.headers, 'content-length': String(answer.body.length) }
  // A VM that leaves says so, so that the caller's next request goes elsewhere instead of crossing the close.
  const isClosing = gateway.node.isLeaving || answer.endsConnection === true
  if (isClosing && tryClosing(place)) headers.connection = 'close'
  res.once('finish', () => leavePipeline(place))
  res.writeHead(answer.status, headers)
  res.end(answer.body)
}
