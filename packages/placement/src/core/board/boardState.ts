/** The state of the leader's load board. */
import type { Millis, ServerId, ServiceId } from '@lynxcourse/base'
import type { RegionPlan } from '../region/regionPlan.js'
import type { LoadUpdate, SlotDemand } from '../../types/loads.js'
import { createSilentServers } from './silentServers.js'
import type { SilentServers } from './silentServers.js'

/** The limit of one server at the leader. */
export interface BoardLimit {
  /** Null for a limit that has ended. */
  readonly perSecond: number | null
  /** Time of the last report. */
  readonly at: Millis
  /** Requests per second for the server, by entry VM. */
  readonly demand: Map<string, { readonly perSecond: number, readonly at: Millis }>
}

/** An entry VM that is not heard any more. */
export interface SilentSharer {
  readonly since: Millis
  /** The fractions of limits that it was last given. */
  readonly shares: Map<ServerId, number>
}

/**
 * Maintained by the leader. Every other control VM stores the last published update and plans, so that it can continue
 * from them when it becomes the leader.
 */
export interface LoadBoard {
  /** Smoothed queue depth by server: requests running and waiting there. */
  readonly queueDepths: Map<ServerId, { ahead: number, at: Millis }>
  /** Utilization of servers, smoothed over some seconds; weights are adjusted by it. */
  readonly utilizations: Map<ServerId, number>
  /** Demand in slots, by the control VM that reported it. */
  readonly byControl: Map<string, { readonly busy: SlotDemand, readonly at: Millis }>
  /** Smoothed demand by service and region, and its recent peak. */
  readonly demand: Map<string, number>
  readonly peaks: Map<string, number>
  readonly plans: Map<ServiceId, RegionPlan>
  readonly silent: SilentServers
  /** Limits that servers named to any VM. */
  readonly limits: Map<ServerId, BoardLimit>
  readonly weights: Map<ServerId, number>
  weightsPublishedAt: Millis
  /** Services whose plan follows measured demand. */
  readonly measuredServices: Set<ServiceId>
  plannedAt: Millis
  /** Time of the first reports of demand; undefined before them. */
  measurementStartedAt: Millis | undefined
  /**
   * Time at which this VM began to lead or continued after a pause. Until all VMs have reported, the measured demand is
   * too low.
   */
  resumedAt: Millis
  /** Slots of each region at the last plan, and the time until which the loss of some lets objects move fast. */
  readonly slots: Map<string, number>
  fastMoveUntil: Millis
  /** Time at which the published update was last written to disk. */
  savedAt: Millis
  /** Fraction of objects that stays in its own region, by service and region, as last logged. */
  readonly loggedShares: Map<string, number>
  news: LoadUpdate
  /** Entry VMs that are not heard any more and may still use shares of limits, by name. */
  readonly silentSharers: Map<string, SilentSharer>
}

/** Creates a board without reports. */
export function createLoadBoard (): LoadBoard {
  return {
    queueDepths: new Map(),
    utilizations: new Map(),
    byControl: new Map(),
    demand: new Map(),
    peaks: new Map(),
    plans: new Map(),
    silent: createSilentServers(),
    limits: new Map(),
    weights: new Map(),
    weightsPublishedAt: -Infinity,
    measuredServices: new Set(),
    plannedAt: -Infinity,
    measurementStartedAt: undefined,
    resumedAt: -Infinity,
    slots: new Map(),
    fastMoveUntil: -Infinity,
    savedAt: -Infinity,
    loggedShares: new Map(),
    news: { full: [], plans: [], silent: [] },
    silentSharers: new Map()
  }
}
