/** Serves a caller's request to a service, from its head to its one final answer. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { isLeaseValid } from '@lynxcourse/membership'
import { createCallerLiveness } from '@lynxcourse/placement'
import { earnRetry, getRoundTripMs, getMeanServiceMs, countAvailableSlots } from '@lynxcourse/routing'
import type { AdmissionInput, CandidateRegion } from '@lynxcourse/routing'
import type { Millis } from '@lynxcourse/base'
import { CancelSignal } from '../../utils/cancelSignal.js'
import { getCurrentTime } from '../../utils/clock.js'
import { recordRequestRead } from '../../utils/loopMonitor.js'
import type { FinalAnswer } from '../../types/answers.js'
import { getCallerInfo, getCandidateRegions } from './callerRegions.js'
import { refreshRoutingState } from './entry.js'
import type { EntryState } from './entry.js'
import { ownAnswer, refusalAnswer, writeAnswer } from './finalAnswers.js'
import { readForwardRequest } from './serviceRequest.js'
import type { ForwardRequest } from './serviceRequest.js'
import { serveOnce } from './serveOnce.js'
import { serveRepeatable } from './serveIdempotent.js'
import { budgetOf } from './servedRequest.js'
import type { Serving } from './servedRequest.js'
import { paceOf, waitingFor } from './slots.js'

const busyRetryMs = 1000

/** Serves a request. Exactly one final answer is written, unless the caller is gone. */
export async function forward (entry: EntryState, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const startedAt = recordRequestRead(entry.loop, req.socket, getCurrentTime())
  const { node } = entry
  if (entry.open >= node.cfg.limits.maxRequests) {
    await writeAnswer(node, res, ownAnswer('refused', 'this VM is full; nothing was tried', busyRetryMs, 503))
    return
  }
  entry.open += 1
  node.metrics.inFlight.set(entry.open)
  const gone = new CancelSignal()
  const leave = (): void => { if (!res.writableFinished) gone.abort() }
  const { socket } = req
  // The end of what the caller sends is read a turn of the event loop before the connection counts as closed.
  socket.once('end', leave)
  socket.once('close', leave)
  let service = 'none'
  try {
    const request = await readForwardRequest(entry, req, startedAt)
    service = request.service
    const answer = await serve(entry, request, req.socket.remoteAddress ?? '', gone)
    node.metrics.requests.inc({ service, outcome: answer.outcome })
    await writeAnswer(node, res, answer)
  } catch (err) {
    node.metrics.requests.inc({ service, outcome: 'refused' })
    // The rest of a refused body is not read: the connection can't be used again.
    res.setHeader('connection', 'close')
    await writeAnswer(node, res, refusalAnswer(err))
  } finally {
    socket.off('end', leave)
    socket.off('close', leave)
    entry.open -= 1
    node.metrics.inFlight.set(entry.open)
    node.metrics.requestSeconds.observe({ service }, (getCurrentTime() - startedAt) / 1000)
  }
}

async function serve (entry: EntryState, request: ForwardRequest, address: string, signal: CancelSignal): Promise<FinalAnswer> {
  const now = getCurrentTime()
  refreshRoutingState(entry, now)
  earnRetry(budgetOf(entry, request.service), request.profile.retryBudget)
  const places = openPlaces(entry, request, address, now)
  const serving: Serving = { entry, request, places, signal, caller: createCallerLiveness(), admission: admissionOf(entry, request, places, now) }
  return request.isIdempotent ? await serveRepeatable(serving) : await serveOnce(serving)
}

/**
 * Places open to a request. A VM without a lease on being current can't know of drains and shifts: it
 * has none, or for reads its own region if the profile says `local`.
 */
function openPlaces (entry: EntryState, request: ForwardRequest, address: string, now: Millis): readonly CandidateRegion[] {
  const places = getCandidateRegions(entry, request.service, request.profile, getCallerInfo(entry, address))
  if (isLeaseValid(entry.node.configLease, now)) return places
  const mayServeLocally = request.profile.whenIsolated === 'local' && request.isIdempotent
  return mayServeLocally ? places.filter(place => place.region === entry.node.cfg.region && place.shift === undefined) : []
}

function admissionOf (entry: EntryState, request: ForwardRequest, places: readonly CandidateRegion[], now: Millis): AdmissionInput {
  const first = places[0]
  const tripMs = first === undefined ? 0 : getRoundTripMs(entry.router, first.region)
  const route = { service: request.service, places, triedServers: new Set<string>() }
  return {
    deadline: request.deadline,
    slots: countAvailableSlots(entry.router, route, now),
    queueLength: waitingFor(entry, request.service),
    serviceMs: getMeanServiceMs(entry.router, request.service),
    completionIntervalMs: paceOf(entry, request.service),
    overheadMs: tripMs
  }
}
