/**
 * Obtains the permits that requests of rate-limited teams need before they are sent to a server.
 *
 * A VM keeps a few permits of each team in reserve, since a question costs more than the rest of a decision. A request that
 * finds none waits for the answer of an issuer. One question to each issuer is open at a time; it carries all teams whose
 * requests wait for this issuer, and refills reserves. If an issuer has none left or is late, the next one is asked, so that
 * callers may use a limit wherever they are.
 */
import { getErrorMessage } from '@lynxcourse/base'
import type { Millis, Random, TeamName } from '@lynxcourse/base'
import {
  addPermits, askTimeoutMs, beginQuestion, computeMissingPermits, endQuestion, failQuestion, hasPermit, isAsked, isHealthy, isLate, isLikelyIssued, isOverRate, isRunningLow, permitTtlMs,
  prunePermits, recordIssuerAnswer, recordIssuerFailure, recordPermitDemand, selectIssuer, takePermit
} from '@lynxcourse/limits'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import type { Logs } from '../../utils/logging.js'
import type { PermitRequest, TeamGrant } from '../control/permitIssuing.js'
import type { PermitChannel } from './permitChannel.js'
import { divideReserves, listReserveRequests, mayRefill } from './permitReserves.js'
import { createRefusal, forgetQuestion, getQueue, refuseExpired, serveWaiting, settleAll } from './permitQueue.js'
import type { PermitResult, ReserveInputs, TeamPermits, TeamQueue } from './permitState.js'

/** Requests of one team that may wait at once; each takes a few kilobytes. */
const maxWaiting = 500
/** Longest time that a request waits for a permit, and the longest part of the time before its deadline. */
const maxWaitMs: Millis = 1000
const maxWaitPart = 0.5
/** Interval at which waiting requests look for another issuer. */
const watchIntervalMs: Millis = 20
/**
 * Time between questions for requests that begin to wait. At a VM with 25 requests a second, 80 ms make a third fewer
 * questions; most answers take hundreds of milliseconds.
 */
const batchIntervalMs: Millis = 80
/** Time in which used reserves are collected for one question. */
const refillDelayMs: Millis = 400

export function createTeamPermits (channel: PermitChannel, logs: Logs, random: Random = Math.random): TeamPermits {
  return {
    channel, logs, random, store: new Map(), health: new Map(), queues: new Map(), waiting: new Set(), members: undefined, divided: undefined, nextReserve: 0, isWatching: false, isRefillDue: false, isBatchDue: false, batchAt: -Infinity
  }
}

/**
 * Takes a permit for a request, or waits for one.
 *
 * @param deadline time after which the request is of no use
 */
export async function obtainPermit (permits: TeamPermits, team: TeamName, now: Millis, deadline: Millis = Infinity): Promise<PermitResult> {
  const { store } = permits
  recordPermitDemand(store, team, now)
  const queue = getQueue(permits, team)
  const permit = takePermit(store, team, now)
  if (permit !== undefined) {
    if (isRunningLow(store, team, now)) askForWaiting(permits, now, team)
    else scheduleRefill(permits)
    return { type: 'permit', permit }
  }
  if (queue.waiting.length >= maxWaiting || isOverRate(queue.issuers, new Set(), now)) return createRefusal(permits, queue, now)
  return await new Promise(resolve => {
    if (queue.waiting.length === 0) Object.assign(queue, { isFresh: true, empty: new Set() })
    queue.waiting.push({ settle: resolve, until: now + Math.min(maxWaitMs, maxWaitPart * (deadline - now)) })
    permits.waiting.add(team)
    scheduleBatch(permits, now)
    watch(permits)
  })
}

/** Whether a request would probably get a permit without waiting for long. */
export function mayObtainPermit ({ store, queues, health }: TeamPermits, team: TeamName, now: Millis): boolean {
  if (hasPermit(store, team, now)) return true
  const queue = queues.get(team)
  return queue !== undefined && queue.waiting.length === 0 && isLikelyIssued(queue.issuers, health, now)
}

/** Asks for the reserves that are missing, after dividing the limits of teams among the entry VMs. */
export function refillReserves (permits: TeamPermits, inputs: ReserveInputs, now: Millis): void {
  for (const team of inputs.limits.keys()) getQueue(permits, team)
  divideReserves(permits, inputs, now)
  const { members, channel, health } = permits
  // Failed issuers are tried here before requests depend on them again.
  for (const address of channel.listIssuers()) if (!isHealthy(health, address) && mayRefill(permits, address, now)) ask(permits, address, [])
  const address = channel.listIssuers().find(issuer => mayRefill(permits, issuer, now))
  if (address === undefined) return
  const requests = listReserveRequests(permits, address, now)
  // The first answer tells the number of members, even if nothing is asked for.
  if (requests.length > 0 || (members === undefined && inputs.limits.size > 0)) ask(permits, address, requests)
}

/** Refills the used part of the reserves after a short time, with one question for all of them. */
function scheduleRefill (permits: TeamPermits): void {
  if (permits.isRefillDue) return
  permits.isRefillDue = true
  setTimeout(() => {
    permits.isRefillDue = false
    const now = getCurrentTime()
    const address = chooseRefillIssuer(permits, now)
    const requests = address === undefined ? [] : listReserveRequests(permits, address, now)
    if (address !== undefined && requests.length > 0) ask(permits, address, requests)
  }, refillDelayMs)
}

/**
 * Chooses the issuer that refills reserves: any of them, so that the nearest ones keep permits for requests that wait, and
 * all are used where the callers of one region have more requests than the others.
 */
function chooseRefillIssuer (permits: TeamPermits, now: Millis): string | undefined {
  const usable = permits.channel.listIssuers().filter(issuer => isHealthy(permits.health, issuer) && mayRefill(permits, issuer, now))
  return usable[Math.floor(permits.random() * usable.length)]
}

/** Forgets teams that are no longer limited. */
export function pruneTeamPermits ({ store, queues }: TeamPermits, isLimited: (team: TeamName) => boolean): void {
  prunePermits(store, isLimited)
  for (const [team, { waiting }] of queues) if (!isLimited(team) && waiting.length === 0) queues.delete(team)
}

/** Asks for the teams whose requests began to wait: at once, or some time after the last such question. */
function scheduleBatch (permits: TeamPermits, now: Millis): void {
  if (permits.isBatchDue) return
  const waitMs = permits.batchAt + batchIntervalMs - now
  if (waitMs <= 0) {
    permits.batchAt = now
    askForWaiting(permits, now)
    return
  }
  permits.isBatchDue = true
  setTimeout(() => {
    permits.isBatchDue = false
    permits.batchAt = getCurrentTime()
    askForWaiting(permits, permits.batchAt)
  }, waitMs)
}

/** Looks at the waiting requests from time to time: issuers become late, or have permits again. */
function watch (permits: TeamPermits): void {
  if (permits.isWatching || permits.waiting.size === 0) return
  permits.isWatching = true
  setTimeout(() => {
    permits.isWatching = false
    const now = getCurrentTime()
    for (const team of permits.waiting) refuseExpired(permits, team, now)
    askForWaiting(permits, now)
    watch(permits)
  }, watchIntervalMs)
}

/**
 * Asks for all teams whose requests wait, with one question for each issuer, and refuses the requests of teams that are over
 * their rate.
 *
 * @param low a team that will run out of permits soon
 */
function askForWaiting (permits: TeamPermits, now: Millis, low?: TeamName): void {
  const { store, queues, waiting } = permits
  if (waiting.size === 0 && low === undefined) return
  const nearest = permits.channel.listIssuers()
  const questions = new Map<string, PermitRequest[]>()
  for (const team of low === undefined || waiting.has(low) ? waiting : [...waiting, low]) {
    const queue = queues.get(team) as TeamQueue
    if (queue.isFresh && permits.isBatchDue && team !== low) continue
    const address = chooseIssuer(permits, team, queue, nearest, now)
    if (address === undefined) continue
    queue.isFresh = false
    queue.askedFrom = address
    const wanted = Math.max(1, queue.waiting.length + computeMissingPermits(store, team, now))
    questions.set(address, [...questions.get(address) ?? [], { team, wanted }])
  }
  for (const [address, requests] of questions) ask(permits, address, [...requests, ...listReserveRequests(permits, address, now)])
}

/** Chooses the issuer to ask for a team now; undefined if its requests wait for an answer or for another time. */
function chooseIssuer (permits: TeamPermits, team: TeamName, queue: TeamQueue, nearest: readonly string[], now: Millis): string | undefined {
  const { health } = permits
  const { issuers, empty, askedFrom } = queue
  if (askedFrom !== undefined && !isLate(health, askedFrom, now)) return undefined
  let address = selectIssuer(issuers, health, nearest, empty, now)
  if (address === undefined) {
    if (isOverRate(issuers, empty, now)) {
      settleAll(permits, team, queue, createRefusal(permits, queue, now))
      return undefined
    }
    // Some issuer could not be asked. One that was empty may have permits again.
    address = selectIssuer(issuers, health, nearest, new Set(), now)
  }
  // The team joins the next question to this issuer.
  return address === undefined || isAsked(health, address) ? undefined : address
}

/** Asks an issuer and applies its answer; errors are recorded and logged. */
function ask (permits: TeamPermits, address: string, requests: readonly PermitRequest[]): void {
  const { health, channel, random, queues, logs } = permits
  const askedAt = getCurrentTime()
  beginQuestion(health, address, askedAt)
  channel.ask(address, requests, askTimeoutMs).then(reply => {
    endQuestion(health, address, getCurrentTime())
    permits.members = reply.members
    for (const grant of reply.teams) applyGrant(permits, address, grant, askedAt)
  }, (err: unknown) => {
    failQuestion(health, address, random, getCurrentTime())
    for (const { team } of requests) recordIssuerFailure(getQueue(permits, team).issuers, address)
    log(logs, 'limit', 'warn', 'A control VM issued no permits.', { peer: address, teams: requests.length, error: getErrorMessage(err) })
  }).then(() => {
    for (const { team } of requests) forgetQuestion(queues.get(team), address)
    askForWaiting(permits, getCurrentTime())
  }).catch((err: unknown) => { log(logs, 'limit', 'error', 'Asking for permits failed.', { error: getErrorMessage(err) }) })
}

function applyGrant (permits: TeamPermits, address: string, { team, granted, retryAfterMs, issuers }: TeamGrant, askedAt: Millis): void {
  const { store } = permits
  const queue = getQueue(permits, team)
  const now = getCurrentTime()
  recordIssuerAnswer(queue.issuers, address, issuers, retryAfterMs, now)
  // Permits of a late answer have expired. They must not enter the reserve either: a window counts a permit in reserve at
  // its start, or within its lifetime after it was issued.
  if (now < askedAt + permitTtlMs) addPermits(store, team, granted, queue.waiting.length, askedAt)
  serveWaiting(permits, team, queue, now)
  if (queue.waiting.length > 0 && granted === 0) queue.empty.add(address)
  else queue.empty.delete(address)
}
