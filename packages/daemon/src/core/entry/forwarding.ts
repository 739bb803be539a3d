/** Serves a caller's request to a service, from reading its head to writing its only final answer. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { isLeaseValid } from '@lynxcourse/membership'
import { createCallerLiveness } from '@lynxcourse/placement'
import type { TrialAnswer } from '@lynxcourse/placement'
import { earnRetry, estimateRequestDelay, getRoundTripMs, getMeanServiceMs, countAvailableSlots } from '@lynxcourse/routing'
import type { AdmissionInput, CandidateRegion } from '@lynxcourse/routing'
import { getErrorMessage } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { CancelSignal } from '../../utils/cancelSignal.js'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { recordRequestRead } from '../../utils/loopMonitor.js'
import type { FinalAnswer } from '../../types/answers.js'
import { cancelTrial, claimTrial, findRestriction } from '../crashes/crashWatch.js'
import { getCallerInfo, getCandidateRegions } from './callerRegions.js'
import { hasRoom } from './connectionPool.js'
import { refreshRoutingState } from './entry.js'
import type { EntryState } from './entry.js'
import { createAnswer, createRefusal, writeAnswer } from './finalAnswers.js'
import { readServiceRequest } from './serviceRequest.js'
import type { ServiceRequest } from './serviceRequest.js'
import { serveOnce } from './serveOnce.js'
import { serveIdempotent } from './serveIdempotent.js'
import { getRetryBudget } from './servedRequest.js'
import type { ServedRequest } from './servedRequest.js'
import { getCompletionIntervalMs, getQueueLength } from './slots.js'

/** Retry delay sent to callers while this VM is at its limit of requests. */
const fullRetryMs = 1000

/** Serves a request. Writes exactly one final answer, unless the caller disconnects. */
export async function forwardRequest (entry: EntryState, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const startedAt = recordRequestRead(entry.loop, req.socket, getCurrentTime())
  const { node } = entry
  if (entry.open >= node.cfg.limits.maxRequests || !hasRoom(entry.pool)) {
    await writeAnswer(node, res, createAnswer('refused', 'this VM is full; nothing was tried', fullRetryMs, 503))
    return
  }
  entry.open += 1
  node.metrics.inFlight.set(entry.open)
  const signal = new CancelSignal()
  const onDisconnect = (): void => { if (!res.writableFinished) signal.abort() }
  const { socket } = req
  // The end of the caller's data is read one event loop iteration before the connection is reported as closed.
  socket.once('end', onDisconnect)
  socket.once('close', onDisconnect)
  let service = 'none'
  try {
    const request = await readServiceRequest(entry, req, startedAt)
    service = request.service
    const answer = await serveRequest(entry, request, req.socket.remoteAddress ?? '', signal)
    node.metrics.requests.inc({ service, outcome: answer.outcome })
    await writeAnswer(node, res, answer)
  } catch (err) {
    node.metrics.requests.inc({ service, outcome: 'refused' })
    // The rest of the body is not read, so the connection cannot carry another request.
    res.setHeader('connection', 'close')
    await writeAnswer(node, res, createRefusal(err))
  } finally {
    socket.off('end', onDisconnect)
    socket.off('close', onDisconnect)
    entry.open -= 1
    node.metrics.inFlight.set(entry.open)
    node.metrics.requestSeconds.observe({ service }, (getCurrentTime() - startedAt) / 1000)
  }
}

async function serveRequest (entry: EntryState, request: ServiceRequest, address: string, signal: CancelSignal): Promise<FinalAnswer> {
  const now = getCurrentTime()
  refreshRoutingState(entry, now)
  earnRetry(getRetryBudget(entry, request.service), request.profile.retryBudget)
  const places = getAllowedRegions(entry, request, address, now)
  const trial = await claimTrialIfRestricted(entry, request, now)
  const serving: ServedRequest = {
    entry,
    request,
    places,
    signal,
    liveness: createCallerLiveness(),
    admission: getAdmissionInput(entry, request, places, getCurrentTime()),
    isTrial: trial?.isGranted === true,
    restrictedForMs: trial?.isGranted === false ? trial.retryAfterMs : undefined
  }
  const answer = request.isIdempotent ? await serveIdempotent(serving) : await serveOnce(serving)
  const isTrialUnused = serving.isTrial && answer.outcome === 'not-run'
  if (isTrialUnused && request.watched !== undefined) {
    cancelTrial(entry.crashes, request.watched).catch((err: unknown) => log(entry.node.logs, 'route', 'error', 'Cancelling a trial failed.', { id: request.id, error: getErrorMessage(err) }))
  }
  return answer
}

/** Returns whether a restricted request may be sent as a trial; undefined for any other request. */
async function claimTrialIfRestricted ({ crashes }: EntryState, { watched }: ServiceRequest, now: Millis): Promise<TrialAnswer | undefined> {
  const restriction = watched === undefined ? undefined : findRestriction(crashes, watched, now)
  if (watched === undefined || restriction === undefined) return undefined
  if (restriction.type === 'blocked') return { isGranted: false, retryAfterMs: restriction.retryAfterMs }
  return await claimTrial(crashes, watched, now)
}

/**
 * Returns the regions that may serve a request. A VM without a lease on the configuration cannot know of drains and
 * shifts: it allows no region, or only its own for a read whose profile says `local`.
 */
function getAllowedRegions (entry: EntryState, request: ServiceRequest, address: string, now: Millis): readonly CandidateRegion[] {
  const places = getCandidateRegions(entry, request.service, request.profile, getCallerInfo(entry, address))
  if (isLeaseValid(entry.node.configLease, now)) return places
  const mayServeLocally = request.profile.whenIsolated === 'local' && request.isIdempotent
  return mayServeLocally ? places.filter(candidate => candidate.region === entry.node.cfg.region && candidate.shift === undefined) : []
}

function getAdmissionInput (entry: EntryState, request: ServiceRequest, places: readonly CandidateRegion[], now: Millis): AdmissionInput {
  const firstRegion = places[0]
  const roundTripMs = firstRegion === undefined ? 0 : getRoundTripMs(entry.router, firstRegion.region)
  const route = { service: request.service, places, triedServers: new Set<string>() }
  return {
    deadline: request.deadline,
    slots: countAvailableSlots(entry.router, route, now),
    queueLength: getQueueLength(entry, request.service),
    serviceMs: getMeanServiceMs(entry.router, request.service),
    completionIntervalMs: getCompletionIntervalMs(entry, request.service),
    overheadMs: roundTripMs,
    requestDelayMs: estimateRequestDelay(entry.router, route, now)
  }
}
