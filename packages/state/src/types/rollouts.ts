/** Rollouts of server versions, the version in force of each service, and the commands that change them. */
import type { Millis, ServiceId } from '@lynxcourse/base'

/** Version of a backend server's software, as the server announces it. */
export type SoftwareVersion = string & { readonly __brand: 'SoftwareVersion' }

/** The only version of a service whose servers get requests while no rollout of the service is in progress. */
export interface ServiceVersionItem { readonly kind: 'serviceVersion', readonly key: ServiceId, readonly version: SoftwareVersion }

/**
 * `observing`: a small share of the objects is served by the target version, which is judged by its answers. `promoting`: the
 * share grows in steps. `draining`: all requests go to the target version, and requests in flight at the baseline end.
 */
export type RolloutState = 'observing' | 'promoting' | 'draining' | 'completed' | 'rolledBack'

/** Moves a service's requests from the servers of one version to those of another. */
export interface RolloutItem {
  readonly kind: 'rollout'
  readonly key: ServiceId
  /** Version in force when the rollout was ordered. */
  readonly baseline: SoftwareVersion
  readonly target: SoftwareVersion
  /** The log's time of the order. */
  readonly orderedAt: Millis
  /** Time by which the rollout is to be finished, counted from `orderedAt`. */
  readonly durationMs: Millis
  readonly state: RolloutState
  /** Percentage of the service's objects that the target version serves. */
  readonly percent: number
  /** Version of the configuration at which the rollout was ordered; it identifies the rollout. */
  readonly order: number
  /** Grows with each change of the rollout, starting at 1. */
  readonly step: number
  /** Why the rollout is in this state, for operators. */
  readonly reason: string
}

/** Orders a rollout. The same order given again while it is known is accepted without effect. */
export interface StartRolloutCommand {
  readonly type: 'startRollout'
  readonly service: ServiceId
  readonly target: SoftwareVersion
  readonly durationMs: Millis
}

/** An event of a rollout; the state chart `rollout` tells which state follows. */
export type RolloutEvent = 'promote' | 'grow' | 'drain' | 'complete' | 'rollBack'

/** Advances a rollout; rejected unless `order` and `step` are the current ones. The leader plans this command. */
export interface AdvanceRolloutCommand {
  readonly type: 'advanceRollout'
  readonly service: ServiceId
  readonly order: number
  readonly step: number
  readonly event: RolloutEvent
  /** New percentage of the objects that the target version serves. */
  readonly percent: number
  readonly reason: string
}

/** Rolls a rollout back on an operator's order. */
export interface AbortRolloutCommand {
  readonly type: 'abortRollout'
  readonly service: ServiceId
}

export type RolloutCommand = StartRolloutCommand | AdvanceRolloutCommand | AbortRolloutCommand
