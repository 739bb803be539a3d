/** Settings of a VM of a fleet: route-addressed entry VMs and the control VMs behind them. */
import type { FailureDomainId, Millis, RegionId } from '@lynxcourse/base'
import type { RetryBudgetCfg } from '@lynxcourse/placement'
import type { LogSettings } from '../utils/logging.js'

/** Time constants of a fleet's VMs, in milliseconds. */
export interface FleetTimes {
  /** Between two messages of the leader to each control VM. */
  readonly heartbeatMs: Millis
  /** An election starts after this, or up to twice this, without a leader. */
  readonly electionMs: Millis
  readonly rpcTimeoutMs: Millis
  /** Longest time that a watch of the state is held open without news. */
  readonly watchMs: Millis
  /** A control VM whose state was not confirmed for this long is passed over. */
  readonly staleMs: Millis
  /** Between two exchanges of presence among control VMs. */
  readonly presenceMs: Millis
  /** An entry VM not heard for this long is no longer named to callers. */
  readonly presenceStaleMs: Millis
  /** A backend server not heard for this long is taken for lost. */
  readonly missMs: Millis
  /** Longest time to open a connection to a backend server. */
  readonly connectTimeoutMs: Millis
  /** An idle connection to a backend server is closed after this; half of it where a request must not repeat. */
  readonly staleConnectionMs: Millis
  /** Time between the signal to stop and the end of the process at the latest. */
  readonly stopMs: Millis
  /** How long callers may keep the answer to a look-up. */
  readonly lookupTtlMs: Millis
}

/**
 * Defaults: half of what the users' bounds allow, so that two steps in a row (an election and a
 * change of parent) still fit into them.
 */
export const defaultFleetTimes: FleetTimes = {
  heartbeatMs: 120,
  electionMs: 700,
  rpcTimeoutMs: 800,
  watchMs: 1000,
  staleMs: 1600,
  presenceMs: 400,
  presenceStaleMs: 2600,
  missMs: 5000,
  connectTimeoutMs: 350,
  // Of 80 entry VMs each sends to one of 175 servers every seven seconds: at 4000, 27,000 connections were opened for 45,000 requests.
  staleConnectionMs: 9000,
  stopMs: 5500,
  lookupTtlMs: 2000
}

/** Settings of one VM. */
export interface FleetSettings {
  readonly name: string
  readonly roles: ReadonlyArray<'entry' | 'control'>
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  /** Region of each failure domain. */
  readonly regions: ReadonlyMap<FailureDomainId, RegionId>
  /** Where other VMs reach this one; its name among the control VMs. */
  readonly rpc: string
  /** Where it listens for them, if that differs; undefined for `rpc`. */
  readonly rpcListen?: string | undefined
  /** Where callers reach it; undefined without the entry role. */
  readonly callers: string | undefined
  readonly metrics: string
  /** RPC addresses of some control VMs. */
  readonly seeds: readonly string[]
  /** Whether the whole fleet starts for the first time, so that the seeds found the group. */
  readonly isFirstStart: boolean
  readonly dataFolder: string | undefined
  readonly retryBudget: RetryBudgetCfg
  readonly times: FleetTimes
  readonly log: LogSettings
}
