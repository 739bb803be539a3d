/** Plans the steps of a shift of traffic between two regions. */
import type { Millis } from '@lynxcourse/base'

/** Load of a shift's destination and origin, as reported by the entry VMs. */
export interface ShiftLoads {
  /** Time of the oldest report included; undefined when there is none. */
  readonly measuredAt: Millis | undefined
  /** Requests in flight at the destination's servers. */
  readonly busy: number
  /** Slots of the destination's servers that are warm. */
  readonly slots: number
  /** Requests in flight at the origin's servers. */
  readonly originBusy: number
}

/** The properties of a shift that determine its next step. */
export interface ShiftView {
  readonly state: string
  readonly percent: number
  readonly targetPercent: number
  readonly stepPercent: number
  readonly steppedAt: Millis
  /** Maximum number of shifted requests in flight. */
  readonly cap: number
}

export interface ShiftTimes {
  /** Lifetime of cached lookups. */
  readonly lookupTtlMs: Millis
  /** Longest delay before a change of load shows in the reports. */
  readonly reportLagMs: Millis
  /** Reports older than this are ignored. */
  readonly staleMs: Millis
}

export type ShiftStep =
  | { readonly type: 'wait', readonly reason: 'caches' | 'noMeasurement' | 'headroom' | 'cap' | 'stopped' }
  | { readonly type: 'settled' }
  | { readonly type: 'step', readonly percent: number }
  | { readonly type: 'finish' }

/** Highest utilization of the destination's slots that a shift may cause. */
export const maxShiftUtilization = 0.8

/** A rule for the size of steps. */
export abstract class StepRule {
  /** Name in the settings. */
  abstract readonly name: string

  /** Returns the size of the next step in percent of the service's callers at the origin, or 0 to wait. */
  abstract computeStepPercent (shift: ShiftView, headroom: ShiftLoads): number
}

/** Every step has the shift's configured size; the shift waits while the headroom is smaller. */
export class FixedStepRule extends StepRule {
  readonly name = 'fixed'

  override computeStepPercent (shift: ShiftView, headroom: ShiftLoads): number {
    return computeFittingPercent(shift, headroom) >= shift.stepPercent ? shift.stepPercent : 0
  }
}

/** A step uses up to half of the destination's headroom, and at most the shift's configured step size. */
export class HeadroomStepRule extends StepRule {
  readonly name = 'headroom'

  override computeStepPercent (shift: ShiftView, headroom: ShiftLoads): number {
    const halfOfHeadroom = Math.floor(computeFittingPercent(shift, headroom) / 2)
    return Math.min(shift.stepPercent, halfOfHeadroom)
  }
}

/** Returns how many percent of the origin's load before the shift fit into the destination. */
function computeFittingPercent (shift: ShiftView, headroom: ShiftLoads): number {
  const freeSlots = headroom.slots * maxShiftUtilization - headroom.busy
  if (freeSlots <= 0) return 0
  const originalLoad = headroom.originBusy / Math.max(0.01, 1 - shift.percent / 100)
  const loadPerPercent = originalLoad / 100
  if (loadPerPercent === 0) return 100
  return Math.floor(freeSlots / loadPerPercent)
}

/** Returns the next step of a shift, or the reason to wait. */
export function planShift (shift: ShiftView, headroom: ShiftLoads, rule: StepRule, times: ShiftTimes, now: Millis): ShiftStep {
  if (shift.state === 'settling') return planSettling(shift, times, now)
  if (shift.state !== 'moving') return { type: 'wait', reason: 'stopped' }
  if (shift.percent >= shift.targetPercent) return { type: 'step', percent: shift.percent }
  if (headroom.measuredAt === undefined || now - headroom.measuredAt > times.staleMs) {
    // Without recent reports the effect of the last step is unknown, and another step could overload the destination.
    return { type: 'wait', reason: 'noMeasurement' }
  }
  const size = rule.computeStepPercent(shift, headroom)
  if (size <= 0) return { type: 'wait', reason: 'headroom' }
  return { type: 'step', percent: Math.min(shift.targetPercent, shift.percent + size) }
}

/** Waits until callers' cached lookups have expired and the reports include the whole effect of the last step. */
function planSettling (shift: ShiftView, times: ShiftTimes, now: Millis): ShiftStep {
  const settledAt = shift.steppedAt + times.lookupTtlMs + times.reportLagMs
  if (now < settledAt) return { type: 'wait', reason: 'caches' }
  return shift.percent >= shift.targetPercent ? { type: 'finish' } : { type: 'settled' }
}
