/**
 * Obtains the permits that requests of rate-limited teams need before they are sent to a server.
 *
 * One question per team is open at a time; requests that come meanwhile wait for its answer or the next one. If an issuer
 * has none left, the next one is asked, so that callers may use a limit wherever they are.
 */
import { getErrorMessage } from '@lynxcourse/base'
import type { Millis, TeamName } from '@lynxcourse/base'
import { addPermits, computeAdvance, createTeamIssuers, estimateRefillTime, needsAdvance, prunePermits, recordIssuerAnswer, recordIssuerFailure, recordPermitDemand, selectIssuer, takePermit } from '@lynxcourse/limits'
import type { IssuerHealth, Permit, PermitStore, TeamIssuers } from '@lynxcourse/limits'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import type { Logs } from '../../utils/logging.js'
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
  isAsking: boolean
}

/** The permits of one entry VM. */
export interface TeamPermits extends IssuerHealth {
  readonly channel: PermitChannel
  readonly logs: Logs
  readonly store: PermitStore
  readonly queues: Map<TeamName, TeamQueue>
}

/** Requests of one team that may wait at once; each takes a few kilobytes. */
const maxWaiting = 500
/** Longest time that one round of questions goes on; an unreachable issuer takes part of it. */
const maxRoundMs: Millis = 1000
/** Retry time if no issuer can be reached. */
const noPermitsRetryMs: Millis = 500
/** Bounds of the retry time of a team that is over its rate. */
const minRetryMs: Millis = 100
const maxRetryMs: Millis = 5000

export function createTeamPermits (channel: PermitChannel, logs: Logs): TeamPermits {
  return { channel, logs, store: new Map(), queues: new Map(), failedUntil: new Map() }
}

/** Takes a permit for a request, and asks for more if it is one of the last. */
export async function obtainPermit (permits: TeamPermits, team: TeamName, now: Millis): Promise<PermitResult> {
  const { store } = permits
  recordPermitDemand(store, team, now)
  const queue = getQueue(permits, team)
  const permit = takePermit(store, team, now)
  if (permit !== undefined) {
    if (needsAdvance(store, team, now)) startRound(permits, team, queue)
    return { type: 'permit', permit }
  }
  if (queue.waiting.length >= maxWaiting) return createRefusal(queue, now)
  return await new Promise(resolve => {
    queue.waiting.push(resolve)
    startRound(permits, team, queue)
  })
}

/** Forgets teams that are no longer limited. */
export function pruneTeamPermits ({ store, queues }: TeamPermits, isLimited: (team: TeamName) => boolean): void {
  prunePermits(store, isLimited)
  for (const [team, { waiting, isAsking }] of queues) if (!isLimited(team) && waiting.length === 0 && !isAsking) queues.delete(team)
}

function getQueue ({ queues }: TeamPermits, team: TeamName): TeamQueue {
  const known = queues.get(team)
  if (known !== undefined) return known
  const created: TeamQueue = { issuers: createTeamIssuers(), waiting: [], isAsking: false }
  queues.set(team, created)
  return created
}

function startRound (permits: TeamPermits, team: TeamName, queue: TeamQueue): void {
  if (queue.isAsking) return
  queue.isAsking = true
  askIssuers(permits, team, queue)
    .catch((err: unknown) => log(permits.logs, 'limit', 'error', 'Asking for permits failed.', { team, error: getErrorMessage(err) }))
    .finally(() => {
      queue.isAsking = false
      refuseWaiting(queue, getCurrentTime())
    })
}

/** Asks one issuer after the other until no request waits. */
async function askIssuers (permits: TeamPermits, team: TeamName, queue: TeamQueue): Promise<void> {
  const { store, channel } = permits
  const startedAt = getCurrentTime()
  const tried = new Set<string>()
  for (let now = startedAt; now - startedAt < maxRoundMs; now = getCurrentTime()) {
    const wanted = queue.waiting.length + (needsAdvance(store, team, now) ? computeAdvance(store, team, now) : 0)
    const address = selectIssuer(queue.issuers, permits, channel.listIssuers(), tried, now)
    if (wanted === 0 || address === undefined) return
    tried.add(address)
    await askIssuer(permits, team, queue, address, wanted)
    serveWaiting(store, team, queue, getCurrentTime())
    if (queue.waiting.length === 0) return
  }
}

async function askIssuer (permits: TeamPermits, team: TeamName, queue: TeamQueue, address: string, wanted: number): Promise<void> {
  const { channel, store, logs } = permits
  const askedAt = getCurrentTime()
  try {
    const { granted, retryAfterMs, issuers } = await channel.ask(address, team, wanted)
    recordIssuerAnswer(queue.issuers, address, issuers, retryAfterMs, getCurrentTime())
    addPermits(store, team, granted, askedAt)
  } catch (err) {
    recordIssuerFailure(queue.issuers, permits, address, getCurrentTime())
    log(logs, 'limit', 'warn', 'A control VM issued no permits.', { team, peer: address, wanted, error: getErrorMessage(err) })
  }
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
