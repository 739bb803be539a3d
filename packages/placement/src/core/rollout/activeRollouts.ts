/** The rollouts of software versions as one entry VM applies them: the servers of each version, and what the VM sent and observed. */
import type { Millis, ServiceId } from '@lynxcourse/base'
import { createEvidence, createExposure, createRolloutReport, mayExpose } from '@lynxcourse/rollouts'
import type { Exposure, RolloutBounds, RolloutReport, VmEvidence } from '@lynxcourse/rollouts'
import type { RolloutItem } from '@lynxcourse/state'
import type { FleetServer } from '../server/fleetServer.js'

/** Why this VM sends nothing to a target version: its state is not confirmed, or its own counts show a bad version. */
export type StopReason = 'stale' | 'bad'

/** A running rollout. */
export interface ActiveRollout {
  item: RolloutItem
  /** Servers of the baseline version that may get requests. */
  baseline: readonly FleetServer[]
  /** Servers of the target version that may get requests. */
  target: readonly FleetServer[]
  /** Servers of the baseline version, and those that have left the directory with requests of this VM in flight. */
  tracked: readonly FleetServer[]
  readonly exposure: Exposure
  readonly evidence: VmEvidence
  /** Whether this VM's own counts have shown that the target version is bad. */
  isBad: boolean
  stopReason: StopReason | undefined
}

/** A change in this VM's use of a target version, for the log. */
export interface TargetUseChange {
  readonly item: RolloutItem
  readonly type: 'started' | 'stopped' | 'resumed'
  readonly reason: StopReason | 'rolledBack' | undefined
  readonly exposure: Exposure
}

/** The running rollouts by service. */
export interface ActiveRollouts {
  /** Undefined if this fleet doesn't tell versions of servers apart. */
  bounds: RolloutBounds | undefined
  readonly byService: Map<ServiceId, ActiveRollout>
  /** Returns whether the VM's state was confirmed recently; replaced by the gateway. */
  isStateConfirmed: (now: Millis) => boolean
  /** Changes that were not logged yet. */
  readonly changes: TargetUseChange[]
}

export function createActiveRollouts (): ActiveRollouts {
  return { bounds: undefined, byService: new Map(), isStateConfirmed: () => true, changes: [] }
}

/** Creates the state of a rollout that this VM has just learned of. */
export function createActiveRollout (item: RolloutItem): ActiveRollout {
  return { item, baseline: [], target: [], tracked: [], exposure: createExposure(), evidence: createEvidence(), isBad: false, stopReason: undefined }
}

/** Changes kept for the log; they are logged with the next send or report. */
const maxChanges = 100

export function recordUseChange ({ changes }: ActiveRollouts, { item, exposure }: ActiveRollout, type: TargetUseChange['type'], reason?: TargetUseChange['reason']): void {
  if (changes.length < maxChanges) changes.push({ item, type, reason, exposure: { ...exposure } })
}

/** Removes and returns the changes that were not logged yet. */
export function takeUseChanges ({ changes }: ActiveRollouts): TargetUseChange[] {
  return changes.splice(0)
}

/** Stops sending to a version under observation, or resumes it. */
export function updateTargetUse (rollouts: ActiveRollouts, rollout: ActiveRollout, now: Millis): void {
  const reason = findStopReason(rollouts, rollout, now)
  const previous = rollout.stopReason
  if (reason === previous) return
  rollout.stopReason = reason
  assignTargetRoles(rollout)
  if (rollout.exposure.targetSends > 0) recordUseChange(rollouts, rollout, reason === undefined ? 'resumed' : 'stopped', reason ?? previous)
}

function findStopReason ({ isStateConfirmed }: ActiveRollouts, { item, isBad }: ActiveRollout, now: Millis): StopReason | undefined {
  if (item.state !== 'observing') return undefined
  if (!isStateConfirmed(now)) return 'stale'
  return isBad ? 'bad' : undefined
}

/** Closes or opens the target servers in use, so that their slots count only while this VM sends there. */
export function assignTargetRoles ({ target, stopReason }: ActiveRollout): void {
  for (const server of target) server.role = stopReason === undefined ? 'target' : 'unused'
}

/** Returns whether this VM may send one more request to the target version. */
export function maySendToTarget (rollouts: ActiveRollouts, rollout: ActiveRollout, now: Millis): boolean {
  const { item, exposure } = rollout
  if (rollouts.bounds === undefined) return false
  updateTargetUse(rollouts, rollout, now)
  if (rollout.stopReason !== undefined) return false
  return item.state !== 'observing' || mayExpose(exposure, rollouts.bounds)
}

/** Returns whether a request that was placed earlier must not be written to a server any more, by the server's version. */
export function isClosedByVersion ({ bounds, byService, isStateConfirmed }: ActiveRollouts, { role, facts }: FleetServer, now: Millis): boolean {
  if (bounds === undefined || role === 'baseline') return false
  if (role === 'unused') return true
  return byService.get(facts.service)?.item.state === 'observing' && !isStateConfirmed(now)
}

/** Returns whether a server is of a version under observation, from whose answers nothing is learned about its service. */
export function isUnderObservation ({ byService }: ActiveRollouts, { facts: { service, software } }: FleetServer): boolean {
  const item = byService.get(service)?.item
  return item?.state === 'observing' && software === item.target
}

/** Returns the reports of all running rollouts. */
export function listRolloutReports (rollouts: ActiveRollouts, now: Millis): RolloutReport[] {
  return [...rollouts.byService.values()].map(rollout => {
    updateTargetUse(rollouts, rollout, now)
    const inFlightAtBaseline = rollout.tracked.reduce((sum, { running }) => sum + running.size, 0)
    return createRolloutReport(rollout.item, rollout.evidence, inFlightAtBaseline)
  })
}
