/** The requests of each team that wait for permits at one entry VM, and the results that they get. */
import type { Millis, TeamName } from '@lynxcourse/base'
import { createTeamIssuers, estimateRefillTime, isOverRate, takePermit } from '@lynxcourse/limits'
import type { PermitRefusal, PermitResult, TeamPermits, TeamQueue } from './permitState.js'

/** Bounds of the retry times, and the fraction by which they vary, so that callers don't return together. */
const minRetryMs: Millis = 100
const maxRetryMs: Millis = 5000
const minNoPermitsRetryMs: Millis = 500
const retrySpread = 1

export function getQueue ({ queues }: TeamPermits, team: TeamName): TeamQueue {
  const known = queues.get(team)
  if (known !== undefined) return known
  const created: TeamQueue = { issuers: createTeamIssuers(), waiting: [], empty: new Set(), isFresh: true, askedFrom: undefined }
  queues.set(team, created)
  return created
}

export function forgetQuestion (queue: TeamQueue | undefined, address: string): void {
  if (queue?.askedFrom === address) queue.askedFrom = undefined
}

export function serveWaiting (permits: TeamPermits, team: TeamName, queue: TeamQueue, now: Millis): void {
  while (queue.waiting.length > 0) {
    const permit = takePermit(permits.store, team, now)
    if (permit === undefined) return
    queue.waiting.shift()?.settle({ type: 'permit', permit })
  }
  permits.waiting.delete(team)
}

export function refuseExpired (permits: TeamPermits, team: TeamName, now: Millis): void {
  const queue = permits.queues.get(team) as TeamQueue
  const expired = queue.waiting.filter(({ until }) => now >= until)
  if (expired.length === 0) return
  queue.waiting = queue.waiting.filter(({ until }) => now < until)
  if (queue.waiting.length === 0) permits.waiting.delete(team)
  for (const { settle } of expired) settle(createRefusal(permits, queue, now))
}

export function settleAll ({ waiting }: TeamPermits, team: TeamName, queue: TeamQueue, result: PermitResult): void {
  waiting.delete(team)
  for (const { settle } of queue.waiting.splice(0)) settle(result)
}

export function createRefusal ({ health, channel, random }: TeamPermits, { issuers, empty }: TeamQueue, now: Millis): PermitRefusal {
  const reason = isOverRate(issuers, empty, now) ? 'overRate' : 'noPermits'
  const least = reason === 'overRate' ? minRetryMs : minNoPermitsRetryMs
  const refillMs = estimateRefillTime(issuers, health, channel.listIssuers(), now)
  return { type: 'refuse', reason, retryAfterMs: Math.min(maxRetryMs, Math.max(least, refillMs) * (1 + retrySpread * random())) }
}
