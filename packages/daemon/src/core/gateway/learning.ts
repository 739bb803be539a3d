/** What the gateway learns from how a send ended: of the server, of the work, and of the load. */
import type { Millis } from '@lynxcourse/base'
import { concurrencyOf, learnConcurrency, learnCutWork, learnSlowness, learnWarmChance, learnWork, noteBad, noteFailedServer, noteFull, noteGood, noteHandled, owedFor, slotShare, travelTo, workKey, workOf } from '@lynxcourse/placement'
import type { Placed } from '@lynxcourse/placement'
import { objectOf } from './call.js'
import type { Call } from './call.js'
import type { Gateway } from './gateway.js'
import { isServerError } from './sending.js'
import type { LostReason, SendResult } from './sending.js'

/** Smoothing of the mean time in a slot. */
const meanSmoothing = 0.05

/**
 * Learns from how sending ended.
 *
 * @param tookMs time since the request was on an open connection
 */
export function noteResult (gateway: Gateway, call: Call, placed: Placed, result: SendResult, tookMs: Millis, now: Millis): void {
  const { server } = placed
  switch (result.type) {
    case 'answered':
      if (isServerError(result.status)) noteBad(server, false, now)
      else noteAnswer(gateway, call, placed, tookMs, now)
      break
    case 'notRun':
      if (result.reason === 'full') {
        noteFull(server, now)
        break
      }
      noteBad(server, true, now)
      if (result.reason === 'unreached') noteFailedServer(gateway.node.load, server.facts.id)
      break
    case 'lost':
      noteLost(gateway, call, placed, result.reason, tookMs, now)
      break
  }
}

/** Part of the longest expected time beyond which a request without an answer tells of its server by itself. */
const overduePart = 1.3

/**
 * Learns from a request that got no answer.
 *
 * What can go wrong: a route's timeout is hardly longer than the work for a cold object, so requests for objects that have just
 * moved end by it. Taken for a failure of the server, each of them shut it out, its other objects moved in turn, and ended the
 * same way. It shows as servers that are left alone while they answer others. So a request counts only where the server had the
 * time that the longest work takes: for the request itself, or for all that it owed this VM meanwhile.
 */
function noteLost (gateway: Gateway, call: Call, placed: Placed, reason: LostReason, tookMs: Millis, now: Millis): void {
  const { server } = placed
  if (reason === 'gone') return
  const ranOut = reason === 'slow' || reason === 'deadline'
  const enoughMs = placed.longestMs * overduePart
  const isOverdue = ranOut && tookMs > enoughMs
  if (ranOut && !isOverdue && owedFor(server, now) <= enoughMs) {
    learnCutWork(workOf(gateway.fleet.work, workKey(call), call.route.aimMs), inServerMs(gateway, placed, tookMs))
    return
  }
  noteBad(server, isOverdue, now)
  if (reason !== 'spoiled') noteFailedServer(gateway.node.load, server.facts.id)
}

/** Learns how many requests of the service may be under way. */
export function noteLoad (gateway: Gateway, call: Call, placed: Placed, result: SendResult, tookMs: Millis, now: Millis): void {
  const { fleet } = gateway
  const isLate = result.type === 'lost' && (result.reason === 'deadline' || result.reason === 'slow')
  const isWork = result.type === 'answered' && !isServerError(result.status)
  if (!isLate && !isWork) return
  const ratio = isLate ? Infinity : inServerMs(gateway, placed, tookMs) / expectedInServer(gateway, call, placed)
  learnConcurrency(concurrencyOf(fleet, call.service), ratio, slotShare(fleet, call.service), now)
}

/** Time that a request spent at its server, waiting or working. */
function inServerMs (gateway: Gateway, placed: Placed, tookMs: Millis): Millis {
  return Math.max(1, tookMs - travelTo(gateway.fleet, placed.server.facts.region))
}

/** Time that the work alone was expected to take, by whether the object was warm. */
function expectedInServer (gateway: Gateway, call: Call, placed: Placed): Millis {
  const times = workOf(gateway.fleet.work, workKey(call), call.route.aimMs)
  return placed.wasWarm ? times.warmMs : times.coldMs
}

/** A ratio below this tells of chance and not of a slow server. */
const leastSlowRatio = 1.6

function noteAnswer (gateway: Gateway, call: Call, placed: Placed, tookMs: Millis, now: Millis): void {
  const { fleet } = gateway
  const { server, wasWarm, waitMs } = placed
  const times = workOf(fleet.work, workKey(call), call.route.aimMs)
  const inServer = inServerMs(gateway, placed, tookMs)
  const expected = expectedInServer(gateway, call, placed) + waitMs
  const ratio = inServer / expected
  const wasFast = inServer - waitMs < (times.warmMs + times.coldMs) / 2
  noteGood(server, ratio < leastSlowRatio ? 1 : ratio, now)
  learnSlowness(fleet, call.service, ratio < leastSlowRatio ? 1 : ratio)
  if (placed.place !== undefined && !wasWarm) learnWarmChance(fleet, call, placed.place, wasFast)
  // What this VM has seen doesn't tell warm from cold: of many VMs, another one may have warmed the object.
  if (!placed.isCold && waitMs === 0) learnWork(times, wasFast, inServer)
  const mean = fleet.meanWork.get(call.service) ?? times.coldMs
  fleet.meanWork.set(call.service, mean + (Math.min(inServer, times.coldMs) - mean) * meanSmoothing)
  if (call.facts.object !== '') noteHandled(fleet.warmth, server.facts.id, objectOf(call), now)
}
