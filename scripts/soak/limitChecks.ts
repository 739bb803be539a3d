/** Checks that the VMs together keep the limits that servers name. */
import { bounds, isFaultFree } from './history.js'
import type { LimitPeriod, SoakHistory } from './history.js'

/** Checks each time in which a server named a limit; VMs with a recent fault of their own don't count. */
export function checkServerLimits (history: SoakHistory): string[] {
  return history.limits.flatMap(period => checkPeriod(history, period))
}

function checkPeriod (history: SoakHistory, period: LimitPeriod): string[] {
  const { windowMs, overage, slack, learningMs } = bounds.serverLimit
  const { server, perSecond, from, until } = period
  const learnedAt = findLearnedTimes(history, period)
  const counted = history.arrivals.filter(({ id, server: target, at }) => {
    const entry = history.attempts.get(id)?.entry ?? ''
    return target === server && at < until && at > (learnedAt.get(entry) ?? Infinity) + learningMs && isFaultFree(history, entry, at, bounds.vmRecoveryMs)
  })
  const allowed = perSecond * windowMs / 1000 * overage + slack
  for (const { at } of counted) {
    if (at < from + bounds.vmRecoveryMs) continue
    const got = counted.filter(other => other.at > at - windowMs && other.at <= at).length
    if (got > allowed) return [`limit: ${server}, which takes ${perSecond} a second, got ${got} requests in ${windowMs} ms from VMs that knew; ${Math.floor(allowed)} are allowed`]
  }
  return []
}

/** Returns when each VM first passed on an answer of the server with the limit. */
function findLearnedTimes (history: SoakHistory, { server, from, until }: LimitPeriod): Map<string, number> {
  const learnedAt = new Map<string, number>()
  for (const { id, server: target, readAt, endedAt } of history.runs) {
    if (target !== server || endedAt === undefined || readAt < from || endedAt > until) continue
    const entry = history.attempts.get(id)?.entry ?? ''
    learnedAt.set(entry, Math.min(learnedAt.get(entry) ?? Infinity, endedAt))
  }
  return learnedAt
}
