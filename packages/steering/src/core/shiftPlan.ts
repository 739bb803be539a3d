/** Plans the steps of a shift of traffic between two regions. */
import type { Millis } from '@lynxcourse/base'

/** What is measured at the destination. */
export interface ShiftLoads {
  /** When the oldest of the reports behind it was made; undefined without any. */
  readonly measuredAt: Millis | undefined
  /** Requests in flight at the destination's servers. */
  readonly busy: number
  /** Slots of the destination's servers that are warm. */
  readonly slots: number
  /** Requests in flight at the origin's servers. */
  readonly originBusy: number
}

/** A shift as the plan needs it. */
export interface ShiftView {
  readonly state: string
  readonly percent: number
  readonly targetPercent: number
  readonly stepPercent: number
  readonly steppedAt: Millis
  /** Most moved requests in flight. */
  readonly cap: number
}

export interface ShiftTimes {
  /** Cached look-ups live this long. */
  readonly lookupTtlMs: Millis
  /** Reports lag this much. */
  readonly reportLagMs: Millis
  /** Reports older than this are none. */
  readonly staleMs: Millis
}

export type ShiftStep =
  | { readonly type: 'wait', readonly reason: 'caches' | 'noMeasurement' | 'headroom' | 'cap' | 'stopped' }
  | { readonly type: 'settled' }
  | { readonly type: 'step', readonly percent: number }
  | { readonly type: 'finish' }

/** Most of the destination's slots that a shift may fill. */
export const shiftFillLimit = 0.8

/** A rule for the size of steps. */
export abstract class StepRule {
  /** Name in the settings. */
  abstract readonly name: string

  /** Largest sound step from here, in percent; 0 says to wait. */
  abstract computeStepPercent (shift: ShiftView, headroom: ShiftLoads): number
}

/** Every step has the shift's own size, if it fits at all. */
export class FixedStepRule extends StepRule {
  readonly name = 'fixed'

  override computeStepPercent (shift: ShiftView, headroom: ShiftLoads): number {
    return fittingPercent(shift, headroom) >= shift.stepPercent ? shift.stepPercent : 0
  }
}

/** A step is as large as half of the headroom at the destination allows. */
export class HeadroomStepRule extends StepRule {
  readonly name = 'headroom'

  override computeStepPercent (shift: ShiftView, headroom: ShiftLoads): number {
    const cautious = Math.floor(fittingPercent(shift, headroom) / 2)
    return Math.min(shift.stepPercent, cautious)
  }
}

/** How many percent of the origin's whole load fit into the destination. */
function fittingPercent (shift: ShiftView, headroom: ShiftLoads): number {
  const room = headroom.slots * shiftFillLimit - headroom.busy
  if (room <= 0) return 0
  const whole = headroom.originBusy / Math.max(0.01, 1 - shift.percent / 100)
  const perPercent = whole / 100
  if (perPercent === 0) return 100
  return Math.floor(room / perPercent)
}

/** Decides what a shift does next. */
export function planShift (shift: ShiftView, headroom: ShiftLoads, rule: StepRule, times: ShiftTimes, now: Millis): ShiftStep {
  if (shift.state === 'settling') return planSettling(shift, times, now)
  if (shift.state !== 'moving') return { type: 'wait', reason: 'stopped' }
  if (shift.percent >= shift.targetPercent) return { type: 'step', percent: shift.percent }
  if (headroom.measuredAt === undefined || now - headroom.measuredAt > times.staleMs) {
    // Without measurements nobody knows what the last step did; the next one could overload.
    return { type: 'wait', reason: 'noMeasurement' }
  }
  const size = rule.computeStepPercent(shift, headroom)
  if (size <= 0) return { type: 'wait', reason: 'headroom' }
  return { type: 'step', percent: Math.min(shift.targetPercent, shift.percent + size) }
}

/** Callers go on by cached look-ups until those run out; only then do reports show the whole step. */
function planSettling (shift: ShiftView, times: ShiftTimes, now: Millis): ShiftStep {
  const settledAt = shift.steppedAt + times.lookupTtlMs + times.reportLagMs
  if (now < settledAt) return { type: 'wait', reason: 'caches' }
  return shift.percent >= shift.targetPercent ? { type: 'finish' } : { type: 'settled' }
}
