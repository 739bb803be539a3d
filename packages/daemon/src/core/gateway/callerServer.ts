/** The HTTP server for callers: reads requests, serves them and writes their answers. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { getErrorMessage } from '@lynxcourse/base'
import type { Millis, ServiceId } from '@lynxcourse/base'
import { createCallerLiveness, fitsIterationBudget, fitsStop, getCopyAge, getGiveUpTime, recordPoll, invalidateLiveness, getIterationTime } from '@lynxcourse/placement'
import type { RoutedService, IterationTime } from '@lynxcourse/placement'
import { matchRoute, selectService } from '@lynxcourse/routing'
import type { Route } from '@lynxcourse/state'
import type { HeaderMap } from '../../types/answers.js'
import type { CancelSignal } from '../../utils/cancelSignal.js'
import { getCurrentTime, readClocks } from '../../utils/clock.js'
import { guardServer } from '../../utils/connections/connectionGuard.js'
import { GuardedResponse } from '../../utils/connections/guardedResponse.js'
import { reserveUnsent } from '../../utils/connections/unsentAnswers.js'
import { isHopByHop } from '../../utils/headers.js'
import { lingerAfterLastAnswer } from '../../utils/lingeringClose.js'
import { log } from '../../utils/logging.js'
import { recordRequestRead, recordAcceptedConnection, recordCloseRead } from '../../utils/loopMonitor.js'
import { waitForPoll } from '../../utils/pollPhase.js'
import { createLazyFingerprint } from '../crashes/requestFingerprint.js'
import { createAnswerStream } from './answerStream.js'
import type { AnswerStream } from './answerStream.js'
import { authenticateCaller } from './authentication.js'
import type { Call, CallAnswer, CallerTeam } from './call.js'
import { startReadingBody } from './callBody.js'
import type { CallBody } from './callBody.js'
import { markClose, trackConnection } from './callerConnections.js'
import { answerBodyFailure, answerNoRoute, refuseOverloaded, refuseStopping, refuseUnconfirmed } from './callerRefusals.js'
import { endInvalidConnection } from './connectionErrors.js'
import type { Gateway } from './gateway.js'
import { addOpenRequest, enterStep, enterWriting, recordFinish } from './openRequests.js'
import type { OpenRequest } from './openRequests.js'
import { isBehindOthers, joinPipeline, leavePipeline, tryMarkClosing, waitForEarlierAnswers } from './pipeline.js'
import type { PipelinedRequest } from './pipeline.js'
import { getTimeFields } from './requestLog.js'
import type { RefusedCall } from './requestLog.js'
import { serveCall } from './serving.js'
import { endOpenRequest } from './stopReport.js'
import { mayUseState, waitForState } from './stateWait.js'

/** Largest head of a request that the parser accepts; a route may have a lower limit. */
const maxHeaderBytes = 65_536
/**
 * Idle connections stay open this long after the announced timeout, so that a request sent just before the timeout
 * still finds its connection open.
 */
const idleSlackMs: Millis = 2000
/** Interval of the checks whether the head of a request is late. */
const limitCheckMs: Millis = 1000

/** Creates the server; it does not listen yet. */
export function createCallerServer (gateway: Gateway): Server {
  const server = createServer({ ServerResponse: GuardedResponse, maxHeaderSize: maxHeaderBytes, requestTimeout: 0, connectionsCheckingInterval: limitCheckMs }, (req, res) => {
    answerCall(gateway, req, res).catch((err: unknown) => {
      log(gateway.node.logs, 'route', 'error', 'Serving a request failed.', { error: getErrorMessage(err) })
      res.destroy()
    })
  })
  guardServer(gateway.node.guard, server, 'callers')
  server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
    endInvalidConnection(gateway, err, socket as Socket).catch((reason: unknown) => {
      log(gateway.node.logs, 'route', 'error', 'Ending an invalid connection failed.', { error: getErrorMessage(reason) })
      socket.destroy()
    })
  })
  server.on('connection', (socket: Socket) => {
    trackConnection(gateway, socket)
    lingerAfterLastAnswer(gateway.lingering, socket)
    recordAcceptedConnection(gateway.loop, socket, getCurrentTime())
    recordCloseRead(gateway.loop, socket, readDelayMs => {
      const hasRequests = (gateway.pipelines.get(socket)?.requests.length ?? 0) > 0
      if (hasRequests) gateway.node.metrics.closeUnreadSeconds.observe(readDelayMs / 1000)
    })
  })
  return server
}

/** Applies the gateway's current limits to the server. */
export function applyCallerLimits (gateway: Gateway, server: Server): void {
  server.keepAliveTimeout = gateway.limits.idleTimeoutMs + idleSlackMs
  server.headersTimeout = gateway.limits.headerTimeoutMs + idleSlackMs
}

async function answerCall (gateway: Gateway, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const arrival = recordArrival(gateway, req, getCurrentTime())
  const { arrivedAt } = arrival
  const { metrics } = gateway.node
  metrics.unreadSeconds.observe((arrival.readAt - arrivedAt) / 1000)
  const open = addOpenRequest(gateway.openRequests, req, arrivedAt, arrival.readAt)
  metrics.inFlight.set(gateway.open)
  const body = startReadingBody(gateway, req)
  const pipelined = await joinPipeline(gateway.pipelines, req)
  const { gone } = pipelined
  open.gone = gone
  try {
    const { service, answer } = await processCall(gateway, { req, res, open, pipelined, body, gone, arrival })
    metrics.requests.inc({ service, outcome: answer === undefined ? 'gone' : answer.streamed === 'broken' ? 'broken' : String(answer.status) })
    metrics.requestSeconds.observe({ service }, (getCurrentTime() - arrivedAt) / 1000)
    if (answer === undefined || answer.streamed !== undefined) return
    enterStep(open, 'earlierAnswers', getCurrentTime())
    if (await waitForTurn(pipelined, answer)) writeAnswer(gateway, res, answer, pipelined, open)
  } catch (err) {
    markClose(gateway, req.socket, 'failed')
    throw err
  } finally {
    body.release()
    if (!res.writableEnded) leavePipeline(pipelined)
    afterAnswerSent(res, () => {
      if (res.writableFinished) recordFinish(open)
      endOpenRequest(gateway, open, getCurrentTime())
      metrics.inFlight.set(gateway.open)
    })
  }
}

/** Waits until an answer may be written. Returns false if its request is cancelled by then. */
async function waitForTurn (pipelined: PipelinedRequest, { body }: CallAnswer): Promise<boolean> {
  const reserved = reserveUnsent(pipelined.pipeline.socket, body.length, getCurrentTime())
  try {
    return await waitForEarlierAnswers(pipelined, body.length)
  } finally {
    reserved[Symbol.dispose]()
  }
}

/** A request whose head was read. */
interface IncomingCall {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly open: OpenRequest
  readonly pipelined: PipelinedRequest
  readonly body: CallBody
  readonly gone: CancelSignal
  readonly arrival: Arrival
}

/** The answer to a request; undefined if the caller has disconnected. */
interface CallOutcome {
  readonly service: ServiceId | 'none'
  readonly answer: CallAnswer | undefined
}

/** Serves a request once the routes are available and a poll has shown that the caller is still connected. */
async function processCall (gateway: Gateway, incoming: IncomingCall): Promise<CallOutcome> {
  const { req, open, body, gone } = incoming
  const arrival = await pollForClose(gateway, incoming.arrival)
  if (!mayUseState(gateway, readClocks())) {
    enterStep(open, 'state', getCurrentTime())
    await waitForState(gateway, gone)
    arrival.workStartedAt = getCurrentTime()
    enterStep(open, 'start', arrival.workStartedAt)
  }
  body.confirmLimits()
  if (gone.aborted) {
    log(gateway.node.logs, 'route', 'info', 'Caller disconnected before its request was started.', { path: req.url, ...getTimeFields(arrival) })
    return { service: 'none', answer: undefined }
  }
  const now = readClocks()
  if (!mayUseState(gateway, now)) return { service: 'none', answer: refuseUnconfirmed(gateway, open) }
  gateway.node.metrics.stateAgeSeconds.observe(getCopyAge(gateway.node.freshness, now) / 1000)
  const target = selectTarget(gateway, req)
  if (target === undefined) return { service: 'none', answer: answerNoRoute(gateway, req) }
  const authenticated = authenticateCaller(gateway, open, target.route, now)
  if ('rejection' in authenticated) return { service: target.service, answer: authenticated.rejection }
  const routed = { route: authenticated.route, service: target.service, caller: authenticated.caller }
  return { service: target.service, answer: await serveRoutedCall(gateway, { ...incoming, arrival }, routed) }
}

/**
 * Calls `done` once the answer is sent or its connection has closed; at once if there is no answer. A VM that stops
 * waits for its requests until then.
 */
function afterAnswerSent (res: ServerResponse, done: () => void): void {
  if (!res.writableEnded || res.writableFinished || res.destroyed) done()
  else res.once('close', done)
}

interface Arrival extends Pick<Call, 'arrivedAt' | 'readAt' | 'liveness'> {
  /** Time spent in the event loop iteration in which the request was read, up to that point. */
  readonly readIteration: IterationTime
  /** When the VM started to process the requests that were read together with this one. */
  workStartedAt: Millis
}

function recordArrival ({ loop }: Gateway, req: IncomingMessage, now: Millis): Arrival {
  const arrivedAt = recordRequestRead(loop, req.socket, now)
  const iteration = getIterationTime(loop.iterations, now)
  return { arrivedAt, readAt: now, liveness: createCallerLiveness(), readIteration: iteration, workStartedAt: now }
}

/** Polls the sockets after a request was read: the caller's close may have arrived before the request was read. */
async function pollForClose ({ loop }: Gateway, arrival: Arrival): Promise<Arrival> {
  const { liveness, readAt, arrivedAt, readIteration } = arrival
  // A loop that was idle until the request arrived has read all available data and accepted all waiting connections.
  if (readIteration.wasIdle && arrivedAt === readAt) {
    recordPoll(liveness, readAt)
    return arrival
  }
  const poll = await waitForPoll(loop.polls)
  recordPoll(liveness, poll.beganAt)
  return { ...arrival, workStartedAt: poll.endedAt }
}

/** Returns the route of a request and the service that the route's split selects; undefined if no route matches. */
function selectTarget (gateway: Gateway, req: IncomingMessage): RoutedService | undefined {
  const route = matchRoute(gateway.routeTable, req.headers.host ?? '', req.url ?? '/')
  return route === undefined ? undefined : { route, service: selectService(gateway.splits, route) }
}

/** The target of a request, with the caller's team. */
interface AuthenticatedTarget extends RoutedService {
  readonly caller: CallerTeam | undefined
}

async function serveRoutedCall (gateway: Gateway, incoming: IncomingCall, { route, service, caller }: AuthenticatedTarget): Promise<CallAnswer | undefined> {
  const { req, open, body: callBody, gone, arrival, pipelined } = incoming
  const { arrivedAt, readAt, liveness, readIteration, workStartedAt } = arrival
  const facts = gateway.callers.parseCallFacts(req.headers)
  const deadline = arrivedAt + Math.min(facts.remainingMs ?? Infinity, route.timeoutMs)
  const giveUpAt = getGiveUpTime(deadline, arrivedAt, readAt)
  const refusedCall: RefusedCall = { facts, caller, route, service, arrivedAt, readAt, deadline }
  if (!mayTake(gateway, pipelined, giveUpAt)) return refuseStopping(gateway, open, refusedCall)
  if (!fitsIterationBudget(readIteration, route.rank)) return refuseOverloaded(gateway, open, refusedCall)
  enterStep(open, 'body', getCurrentTime())
  const end = await callBody.end
  enterStep(open, 'decision', getCurrentTime())
  if (end.type !== 'whole') return answerBodyFailure(gateway, open, end)
  if (end.at > liveness.polledAt) invalidateLiveness(liveness)
  if (!mayTake(gateway, pipelined, giveUpAt)) return refuseStopping(gateway, open, refusedCall)
  // Checked immediately before the work, so that later requests of this iteration include the time of that work.
  const elapsedMs = getCurrentTime() - Math.max(workStartedAt, end.at)
  if (!fitsIterationBudget({ ...readIteration, elapsedMs }, route.rank)) return refuseOverloaded(gateway, open, refusedCall)
  open.ledger.isIdempotent = route.isIdempotent
  const body = end.body.length === 0 ? null : end.body
  const method = req.method ?? 'GET'
  const path = req.url ?? '/'
  const identity = caller === undefined ? gateway.callers.parseIdentity(req.headers) : `team ${caller.name}`
  const call: Call = {
    facts,
    caller,
    route,
    service,
    method,
    path,
    headers: getForwardedHeaders(gateway, req),
    body,
    getFingerprint: createLazyFingerprint({ method, host: req.headers.host ?? '', path, identity, body }),
    callerAddress: req.socket.remoteAddress ?? '',
    arrivedAt,
    readAt,
    deadline,
    giveUpAt,
    gone,
    liveness,
    stream: createStream(gateway, incoming, route),
    open,
    closeUnreadMs: () => gateway.loop.closeReadDelays.get(req.socket)
  }
  try {
    return await serveCall(gateway, call)
  } finally {
    callBody.release()
  }
}

/** Whether this VM runs for long enough to take a request. */
function mayTake ({ stop }: Gateway, pipelined: PipelinedRequest, giveUpAt: Millis): boolean {
  return stop === undefined || fitsStop(stop, { giveUpAt, isBehindOthers: isBehindOthers(pipelined) }, getCurrentTime())
}

/** Returns the headers for the server. Credentials are left out if they are keys of teams, which servers must not see. */
function getForwardedHeaders (gateway: Gateway, req: IncomingMessage): HeaderMap {
  const connectionHeaders = new Set(String(req.headers.connection ?? '').toLowerCase().split(',').map(name => name.trim()))
  const headers: HeaderMap = {}
  for (const [name, value] of Object.entries(req.headers)) {
    if (name === 'authorization' && gateway.teams.isRequired) continue
    if (value !== undefined && !isHopByHop(name) && !connectionHeaders.has(name) && !gateway.callers.reservedHeaders.has(name)) headers[name] = value
  }
  return headers
}

/** Creates the stream for a large answer, on routes that have such; undefined if this VM's link is unknown. */
function createStream (gateway: Gateway, { res, pipelined, open }: IncomingCall, { hasLargeAnswers }: Route): AnswerStream | undefined {
  if (hasLargeAnswers !== true || gateway.node.cfg.capacity?.linkMbps === undefined) return undefined
  return createAnswerStream(gateway.link, res, pipelined, open, () => getConnectionHeaders(gateway, pipelined, false))
}

/**
 * Returns the header by which a VM that is leaving announces the close, so that the caller's next request goes to another
 * VM and doesn't arrive after the close.
 */
function getConnectionHeaders ({ node }: Gateway, pipelined: PipelinedRequest, endsConnection: boolean): HeaderMap {
  return (node.isLeaving || endsConnection) && tryMarkClosing(pipelined) ? { connection: 'close' } : {}
}

function writeAnswer (gateway: Gateway, res: ServerResponse, answer: CallAnswer, pipelined: PipelinedRequest, open: OpenRequest): void {
  const headers: HeaderMap = { ...answer.headers, 'content-length': String(answer.body.length), ...getConnectionHeaders(gateway, pipelined, answer.endsConnection === true) }
  res.once('finish', () => {
    recordFinish(open)
    if (pipelined.pipeline.isClosing && !open.req.complete) markClose(gateway, open.req.socket, 'announcedUnread')
    leavePipeline(pipelined)
  })
  enterWriting(open, getCurrentTime())
  res.writeHead(answer.status, headers)
  res.end(answer.body)
}
