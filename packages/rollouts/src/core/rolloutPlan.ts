/** Plans the next step of a rollout. */
import type { Millis } from '@lynxcourse/base'
import type { RolloutEvent, RolloutItem } from '@lynxcourse/state'
import type { RolloutJudge, Verdict } from './judgement.js'
import { getEvidence } from './rolloutWatch.js'
import type { RolloutWatch } from './rolloutWatch.js'

/** The servers and entry VMs of a rollout's service as the leader knows them. */
export interface RolloutView {
  /** Servers of the target version that serve, also cold ones. */
  readonly targetServers: number
  /** Slots of the target version's servers that are ready: neither cold nor evacuated. */
  readonly targetSlots: number
  /** Slots of the baseline's servers that serve. */
  readonly baselineSlots: number
  /** Names of the entry VMs that are in contact. */
  readonly entries: readonly string[]
  /** Longest timeout of the service's routes. */
  readonly longestTimeoutMs: Millis
}

/** A step of a rollout. */
export interface RolloutStep {
  readonly event: RolloutEvent
  readonly percent: number
  readonly reason: string
}

/** Percentages of the objects that a promotion passes. */
const levels: readonly number[] = [25, 50, 100]
/**
 * Shortest time at a level, and its fraction of the duration. A report of an entry VM takes up to about a second to the
 * leader.
 */
const minLevelMs: Millis = 1000
const levelFraction = 0.08
/** Fractions of the duration between which the observation ends; at `lastEnd`, a rollout without enough evidence is rolled back. */
const earliestEnd = 0.42
const latestEnd = 0.5
const lastEnd = 0.65
/** Age of the target's servers up to which defects are likely to appear. */
const settleMs: Millis = 4500
/** Time in which all entry VMs report once: a watch and two exchanges of the control VMs. */
const collectMs: Millis = 2000
/**
 * Time before the deadline from which a promotion that has reached all objects doesn't wait any longer. In simulations, the
 * baseline's last requests were reported as ended 2.8 s after the step to draining.
 */
const drainReserveMs: Millis = 4500
/** Time beyond the longest timeout after which no request can be in flight at the baseline. */
const drainSlackMs: Millis = 2000
/**
 * Slots of the target version, relative to the baseline's, that carry all requests. Servers are replaced all the time, so that
 * equal numbers are not to be expected.
 */
const sufficientSlots = 0.85
/** Percentage of the requests that the target servers must be able to carry while the baseline gets none. */
const minDrainCarry = 50

/**
 * Returns the next step of a running rollout; undefined if it has to wait.
 *
 * A bad version is rolled back at once. Everything else waits until the VMs have had time to report to this leader.
 */
export function planRolloutStep (item: RolloutItem, watch: RolloutWatch, view: RolloutView, judge: RolloutJudge, now: Millis): RolloutStep | undefined {
  const verdict = judge.judge(getEvidence(watch, now))
  if (verdict.kind === 'bad') return rollBack(`bad version: ${verdict.reason}`)
  if (now - watch.startedAt < collectMs) return undefined
  switch (item.state) {
    case 'observing': return planObserving(item, watch, view, verdict, now)
    case 'promoting': return planPromoting(item, watch, view, verdict, now)
    case 'draining': return planDraining(item, watch, view, now)
    default: return undefined
  }
}

function rollBack (reason: string): RolloutStep {
  return { event: 'rollBack', percent: 0, reason }
}

function describeCarried (carried: number): string {
  return `the ready servers of the target version carry only ${carried} % of the requests`
}

/** Returns the percentage of the objects that the ready servers of the target version can carry. */
export function getCarriedPercent ({ targetSlots, baselineSlots }: RolloutView): number {
  if (targetSlots === 0) return 0
  return baselineSlots === 0 ? 100 : Math.min(100, Math.floor(100 * targetSlots / (sufficientSlots * baselineSlots)))
}

function planObserving (item: RolloutItem, watch: RolloutWatch, view: RolloutView, verdict: Verdict, now: Millis): RolloutStep | undefined {
  const elapsed = (now - item.orderedAt) / item.durationMs
  const carried = getCarriedPercent(view)
  const level = levels[0] ?? 100
  const isSettled = watch.targetSeenAt !== undefined && now - watch.targetSeenAt >= settleMs
  const isOver = elapsed >= latestEnd || (elapsed >= earliestEnd && isSettled)
  if (isOver && verdict.kind === 'good' && carried >= level) return { event: 'promote', percent: level, reason: verdict.reason }
  if (elapsed < lastEnd) return undefined
  if (view.targetServers === 0) return rollBack('no server of the target version serves')
  return rollBack(verdict.kind === 'good' ? describeCarried(carried) : `not enough evidence: ${verdict.reason}`)
}

function planPromoting (item: RolloutItem, watch: RolloutWatch, view: RolloutView, verdict: Verdict, now: Millis): RolloutStep | undefined {
  const deadline = item.orderedAt + item.durationMs
  const carried = getCarriedPercent(view)
  const isLate = now >= deadline
  if (carried < item.percent) {
    return isLate || carried < 1 ? rollBack(describeCarried(carried)) : { event: 'grow', percent: carried, reason: describeCarried(carried) }
  }
  if (verdict.kind !== 'good') return isLate ? rollBack(`not enough evidence: ${verdict.reason}`) : undefined
  const isHurried = item.percent === 100 && deadline - now < drainReserveMs
  const levelMs = Math.max(minLevelMs, levelFraction * item.durationMs)
  if (now - watch.stepSeenAt < levelMs && !isHurried) return undefined
  if (item.percent === 100) return { event: 'drain', percent: 100, reason: verdict.reason }
  const level = levels.find(next => next > item.percent) ?? 100
  if (level <= carried) return { event: 'grow', percent: level, reason: verdict.reason }
  return isLate ? rollBack(describeCarried(carried)) : undefined
}

function planDraining (item: RolloutItem, watch: RolloutWatch, view: RolloutView, now: Millis): RolloutStep | undefined {
  const carried = getCarriedPercent(view)
  if (carried < minDrainCarry) return rollBack(describeCarried(carried))
  // Without any known entry VM, nothing tells that none is sending.
  if (view.entries.length > 0 && listUndrained(item, watch, view).length === 0) return { event: 'complete', percent: 100, reason: 'no request is in flight at the baseline' }
  const isOver = now - watch.stepSeenAt >= view.longestTimeoutMs + drainSlackMs
  return isOver ? { event: 'complete', percent: 100, reason: 'the longest timeout has passed' } : undefined
}

/** Returns the entry VMs in contact that have not reported the current step without requests in flight at the baseline. */
export function listUndrained (item: RolloutItem, watch: RolloutWatch, view: RolloutView): string[] {
  return view.entries.filter(vm => {
    const report = watch.reports.get(vm)
    return report === undefined || report.step !== item.step || report.inFlightAtBaseline > 0
  })
}
