/** The reserves of permits that an entry VM keeps for each team: their size, and what is asked for to refill them. */
import { hashText } from '@lynxcourse/base'
import type { Millis, TeamName } from '@lynxcourse/base'
import { computeMissingPermits, computeReserveShare, countUsedReserve, getRetryTime, isAsked, mayIssue, planRate, setMaxReserved } from '@lynxcourse/limits'
import type { PermitRequest } from '../control/permitIssuing.js'
import type { ReserveInputs, TeamPermits, TeamQueue } from './permitState.js'

/**
 * Teams whose unused reserves one question fills. After a restart of all VMs, reserves that were filled at once would use up
 * what the issuers have, and the requests that wait would be refused.
 */
const maxReserveRequests = 5
/** Teams whose used reserves one question refills. */
const maxUsedRequests = 30

/** Sets how many permits of each team this VM may keep, unless nothing has changed since the last time. */
export function divideReserves (permits: TeamPermits, inputs: ReserveInputs, now: Millis): void {
  const { members, store, divided } = permits
  const { limits, bound, index, count } = inputs
  if (divided?.members === members && divided?.limits === limits && divided.bound === bound && divided.index === index && divided.count === count) return
  permits.divided = { ...inputs, members }
  if (members === undefined) return
  for (const [team, limit] of limits) {
    const rank = (index + hashText(team)) % count
    setMaxReserved(store, team, computeReserveShare(planRate(limit, bound, members), rank, count), now)
  }
}

/** Whether an issuer may be asked for reserves: no question to it is open, and it did not fail a short time ago. */
export function mayRefill ({ health }: TeamPermits, address: string, now: Millis): boolean {
  return !isAsked(health, address) && now >= getRetryTime(health, address, false)
}

/**
 * Lists what is missing in the reserves of teams for which an issuer may have permits: those that were used, and some of
 * the others in turn.
 */
export function listReserveRequests (permits: TeamPermits, address: string, now: Millis): PermitRequest[] {
  const { queues, store } = permits
  const teams = [...queues]
  const requests: PermitRequest[] = []
  let unused = 0
  for (let checked = 0; checked < teams.length && unused < maxReserveRequests && requests.length < maxUsedRequests; checked++) {
    permits.nextReserve = (permits.nextReserve + 1) % teams.length
    const [team, { issuers, askedFrom }] = teams[permits.nextReserve] as [TeamName, TeamQueue]
    if (askedFrom !== undefined || !mayIssue(issuers, address, now)) continue
    const wanted = computeMissingPermits(store, team, now)
    if (wanted === 0) continue
    requests.push({ team, wanted })
    if (countUsedReserve(store, team) === 0) unused += 1
  }
  return requests
}
