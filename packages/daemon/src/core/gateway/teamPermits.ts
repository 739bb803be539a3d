/**
 * Obtains the permits that requests of rate-limited teams need before they are sent to a server.
 *
 * A VM keeps a few permits of each team in reserve, since a question costs more than the rest of a decision. A request that
 * finds none waits for the answer of an issuer, and this question also refills the reserves of other teams. If an issuer
 * has none left, the next one is asked, so that callers may use a limit wherever they are.
 */
import { getErrorMessage, hashText } from '@lynxcourse/base'
import type { Millis, TeamName } from '@lynxcourse/base'
import {
  addPermits, computeMissingPermits, computeReserveShare, createTeamIssuers, estimateRefillTime, isRunningLow, mayIssue, planRate, prunePermits, recordIssuerAnswer, recordIssuerFailure,
  recordPermitDemand, selectIssuer, setMaxReserved, takePermit
} from '@lynxcourse/limits'
import type { IssuerHealth, Permit, PermitStore, RateBound, RateLimit, TeamIssuers } from '@lynxcourse/limits'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import type { Logs } from '../../utils/logging.js'
import type { PermitReply, PermitRequest, TeamGrant } from '../control/permitIssuing.js'
import type { PermitChannel } from './permitChannel.js'

/** Why a request gets no permit: its team is over its rate, or no issuer can be reached. */
export interface PermitRefusal {
  readonly type: 'refuse'
  readonly reason: 'overRate' | 'noPermits'
  readonly retryAfterMs: Millis
}

export type PermitResult = { readonly type: 'permit', readonly permit: Permit } | PermitRefusal

type Waiter = (result: PermitResult) => void

/** One team's requests that wait for permits. */
interface TeamQueue {
  readonly issuers: TeamIssuers
  waiting: Waiter[]
  /** Issuers that were asked since the first of these requests began to wait. */
  readonly tried: Set<string>
  waitingSince: Millis
  isAsking: boolean
}

/** The permits of one entry VM. */
export interface TeamPermits extends IssuerHealth {
  readonly channel: PermitChannel
  readonly logs: Logs
  readonly store: PermitStore
  readonly queues: Map<TeamName, TeamQueue>
  /** Number of control VMs that may issue permits; undefined before the first answer. */
  members: number | undefined
  /** What the present reserves were divided by. */
  divided: (ReserveInputs & { readonly members: number | undefined }) | undefined
  /** Position among the teams at which the next question for reserves begins. */
  nextReserve: number
}

/** Requests of one team that may wait at once; each takes a few kilobytes. */
const maxWaiting = 500
/** Longest time in which issuers are asked for one request; an unreachable one takes part of it. */
const maxAskMs: Millis = 1000
/**
 * Teams whose reserves one question refills. After a restart of all VMs, reserves that were refilled at once would use up
 * what the issuers have, and the requests that wait would be refused.
 */
const maxReserveRequests = 5
/** Retry time if no issuer can be reached. */
const noPermitsRetryMs: Millis = 500
/** Bounds of the retry time of a team that is over its rate. */
const minRetryMs: Millis = 100
const maxRetryMs: Millis = 5000

export function createTeamPermits (channel: PermitChannel, logs: Logs): TeamPermits {
  return { channel, logs, store: new Map(), queues: new Map(), failedUntil: new Map(), members: undefined, divided: undefined, nextReserve: 0 }
}

/** Takes a permit for a request, and asks for more if requests come often. */
export async function obtainPermit (permits: TeamPermits, team: TeamName, now: Millis): Promise<PermitResult> {
  const { store } = permits
  recordPermitDemand(store, team, now)
  const queue = getQueue(permits, team)
  const permit = takePermit(store, team, now)
  if (permit !== undefined) {
    if (isRunningLow(store, team, now)) askForTeam(permits, team, queue, now)
    return { type: 'permit', permit }
  }
  if (queue.waiting.length >= maxWaiting) return createRefusal(queue, now)
  return await new Promise(resolve => {
    if (queue.waiting.length === 0) beginWaiting(queue, now)
    queue.waiting.push(resolve)
    askForTeam(permits, team, queue, now)
  })
}

/** What the reserves of this VM depend on, beside the number of issuers. */
export interface ReserveInputs {
  readonly limits: ReadonlyMap<TeamName, RateLimit>
  readonly bound: RateBound
  /** Position of this VM among the sorted names of all entry VMs. */
  readonly index: number
  /** Number of entry VMs. */
  readonly count: number
}

/** Asks for the reserves that are missing, after dividing the limits of teams among the entry VMs. */
export function refillReserves (permits: TeamPermits, inputs: ReserveInputs, now: Millis): void {
  const { members } = permits
  const { limits } = inputs
  divideReserves(permits, inputs, now)
  const address = permits.channel.listIssuers().find(issuer => now >= (permits.failedUntil.get(issuer) ?? 0))
  if (address === undefined) return
  const requests = listReserveRequests(permits, address, now)
  // The first answer tells the number of members, even if nothing is asked for.
  if (requests.length > 0 || (members === undefined && limits.size > 0)) ask(permits, address, requests).catch(logFailure(permits))
}

/** Sets how many permits of each team this VM may keep, unless nothing has changed since the last time. */
function divideReserves (permits: TeamPermits, inputs: ReserveInputs, now: Millis): void {
  const { members, store, divided } = permits
  const { limits, bound, index, count } = inputs
  if (divided?.members === members && divided?.limits === limits && divided.bound === bound && divided.index === index && divided.count === count) return
  permits.divided = { ...inputs, members }
  for (const [team, limit] of limits) {
    getQueue(permits, team)
    if (members === undefined) continue
    const rank = (index + hashText(team)) % count
    setMaxReserved(store, team, computeReserveShare(planRate(limit, bound, members), rank, count), now)
  }
}

/** Forgets teams that are no longer limited. */
export function pruneTeamPermits ({ store, queues }: TeamPermits, isLimited: (team: TeamName) => boolean): void {
  prunePermits(store, isLimited)
  for (const [team, { waiting, isAsking }] of queues) if (!isLimited(team) && waiting.length === 0 && !isAsking) queues.delete(team)
}

function getQueue ({ queues }: TeamPermits, team: TeamName): TeamQueue {
  const known = queues.get(team)
  if (known !== undefined) return known
  const created: TeamQueue = { issuers: createTeamIssuers(), waiting: [], tried: new Set(), waitingSince: 0, isAsking: false }
  queues.set(team, created)
  return created
}

function beginWaiting (queue: TeamQueue, now: Millis): void {
  queue.tried.clear()
  queue.waitingSince = now
}

/** Asks the next issuer for a team's permits, unless a question is open; refuses the waiting requests if none is left. */
function askForTeam (permits: TeamPermits, team: TeamName, queue: TeamQueue, now: Millis): void {
  if (queue.isAsking) return
  const hasTime = queue.waiting.length === 0 || now - queue.waitingSince < maxAskMs
  const address = hasTime ? selectIssuer(queue.issuers, permits, permits.channel.listIssuers(), queue.tried, now) : undefined
  if (address === undefined) {
    refuseWaiting(queue, now)
    return
  }
  queue.isAsking = true
  queue.tried.add(address)
  const wanted = queue.waiting.length + computeMissingPermits(permits.store, team, now)
  ask(permits, address, [{ team, wanted: Math.max(1, wanted) }, ...listReserveRequests(permits, address, now)])
    .catch(logFailure(permits))
    .finally(() => {
      queue.isAsking = false
      if (queue.waiting.length > 0) askForTeam(permits, team, queue, getCurrentTime())
    })
}

/**
 * Lists what is missing in the reserves of some teams for which an issuer may have permits; the next question continues
 * with the teams after them.
 */
function listReserveRequests (permits: TeamPermits, address: string, now: Millis): PermitRequest[] {
  const { queues, store } = permits
  const teams = [...queues]
  const requests: PermitRequest[] = []
  for (let checked = 0; checked < teams.length && requests.length < maxReserveRequests; checked++) {
    permits.nextReserve = (permits.nextReserve + 1) % teams.length
    const [team, { issuers, isAsking }] = teams[permits.nextReserve] as [TeamName, TeamQueue]
    const wanted = computeMissingPermits(store, team, now)
    if (wanted > 0 && !isAsking && mayIssue(issuers, address, now)) requests.push({ team, wanted })
  }
  return requests
}

async function ask (permits: TeamPermits, address: string, requests: readonly PermitRequest[]): Promise<void> {
  const askedAt = getCurrentTime()
  let reply: PermitReply
  try {
    reply = await permits.channel.ask(address, requests)
  } catch (err) {
    for (const { team } of requests) recordIssuerFailure(getQueue(permits, team).issuers, permits, address, getCurrentTime())
    log(permits.logs, 'limit', 'warn', 'A control VM issued no permits.', { peer: address, teams: requests.length, error: getErrorMessage(err) })
    return
  }
  permits.members = reply.members
  for (const grant of reply.teams) applyGrant(permits, address, grant, askedAt)
}

function applyGrant (permits: TeamPermits, address: string, { team, granted, retryAfterMs, issuers }: TeamGrant, askedAt: Millis): void {
  const { store } = permits
  const queue = getQueue(permits, team)
  const now = getCurrentTime()
  recordIssuerAnswer(queue.issuers, address, issuers, retryAfterMs, now)
  addPermits(store, team, granted, queue.waiting.length, askedAt)
  serveWaiting(store, team, queue, now)
}

function serveWaiting (store: PermitStore, team: TeamName, queue: TeamQueue, now: Millis): void {
  while (queue.waiting.length > 0) {
    const permit = takePermit(store, team, now)
    if (permit === undefined) return
    queue.waiting.shift()?.({ type: 'permit', permit })
  }
}

function refuseWaiting (queue: TeamQueue, now: Millis): void {
  const refusal = createRefusal(queue, now)
  for (const resolve of queue.waiting.splice(0)) resolve(refusal)
}

function createRefusal ({ issuers }: TeamQueue, now: Millis): PermitRefusal {
  const refillMs = estimateRefillTime(issuers, now)
  if (refillMs === undefined) return { type: 'refuse', reason: 'noPermits', retryAfterMs: noPermitsRetryMs }
  return { type: 'refuse', reason: 'overRate', retryAfterMs: Math.min(maxRetryMs, Math.max(minRetryMs, refillMs)) }
}

function logFailure ({ logs }: TeamPermits): (err: unknown) => void {
  return err => log(logs, 'limit', 'error', 'Asking for permits failed.', { error: getErrorMessage(err) })
}
