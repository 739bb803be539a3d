/** Settings of a fleet's VM: entry VMs that serve routes, and their control VMs. */
import type { FailureDomainId, Millis, RegionId } from '@lynxcourse/base'
import type { RateBound } from '@lynxcourse/limits'
import type { RetryBudgetCfg } from '@lynxcourse/placement'
import type { RolloutBounds } from '@lynxcourse/rollouts'
import type { ResourceSettings } from '../utils/connections/processGuard.js'
import type { LogSettings } from '../utils/logging.js'

/** Time constants of a fleet's VMs, in milliseconds. */
export interface FleetTimes {
  /** Interval of the leader's heartbeats to each control VM. */
  readonly heartbeatMs: Millis
  /** Minimum time without a leader before an election. The election timeout varies from this to twice this. */
  readonly electionMs: Millis
  readonly rpcTimeoutMs: Millis
  /** Timeout of a watch of the state without a change. */
  readonly watchMs: Millis
  /** A control VM whose state was not confirmed for this long is not used. */
  readonly staleMs: Millis
  /**
   * Maximum age of the state by which an entry VM in contact with control VMs decides. It is less than the time in which a confirmed
   * change has to be in force, since a request may reach its server some time after the decision.
   */
  readonly maxStateAgeMs: Millis
  /** Interval of the exchange of presence among control VMs. */
  readonly presenceMs: Millis
  /** Lookups no longer return an entry VM that was not seen for this long. */
  readonly presenceStaleMs: Millis
  /** A backend server that was not seen for this long counts as lost. */
  readonly missMs: Millis
  /** Timeout of opening a connection to a backend server. */
  readonly connectTimeoutMs: Millis
  /** Idle timeout of a connection to a backend server. For a request that must not be retried, it is half of this. */
  readonly staleConnectionMs: Millis
  /** Timeout of a graceful stop, from the signal to the exit of the process. */
  readonly stopMs: Millis
  /** Time for which callers may cache the answer to a lookup. */
  readonly lookupTtlMs: Millis
}

/**
 * Default times. They are half of what the users' limits allow, so that two steps in sequence (an election and a change
 * of parent) stay within the limits.
 */
export const defaultFleetTimes: FleetTimes = {
  heartbeatMs: 120,
  electionMs: 700,
  rpcTimeoutMs: 800,
  watchMs: 1000,
  staleMs: 1600,
  maxStateAgeMs: 2000,
  presenceMs: 400,
  presenceStaleMs: 2600,
  missMs: 5000,
  connectTimeoutMs: 350,
  // With 80 entry VMs and 175 servers, each entry VM sends to a given server every 7 s. 4000 ms led to 27,000 new
  // connections for 45,000 requests.
  staleConnectionMs: 9000,
  stopMs: 5500,
  lookupTtlMs: 2000
}

/** Default bound on the requests of a team: exactly its rate limit, over any five seconds. */
export const defaultRateBound: RateBound = { windowMs: 5000, overage: 0, slack: 0 }

/** What a VM can do; undefined fields are unknown. */
export interface VmCapacity {
  /** Processor cores, with fractions. */
  readonly cores: number | undefined
  /** Bandwidth of the VM's own network link in Mbit/s, for both directions together. */
  readonly linkMbps: number | undefined
}

/** Settings of one VM. */
export interface FleetSettings {
  readonly name: string
  readonly roles: ReadonlyArray<'entry' | 'control'>
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  /** Region of each failure domain. */
  readonly regions: ReadonlyMap<FailureDomainId, RegionId>
  /** RPC address for other VMs. It also identifies this VM among the control VMs. */
  readonly rpc: string
  /** Address that the RPC server listens on, if it differs from `rpc`. */
  readonly rpcListen?: string | undefined
  /** Address for callers' requests; undefined without the role entry. */
  readonly callers: string | undefined
  readonly metrics: string
  /** RPC addresses of some of the control VMs. */
  readonly seeds: readonly string[]
  /** Whether the whole fleet starts for the first time, so that the seeds form the initial group. */
  readonly isFirstStart: boolean
  readonly dataFolder: string | undefined
  readonly retryBudget: RetryBudgetCfg
  /** How far the requests of a team may exceed its rate limit. */
  readonly rateBound: RateBound
  /** Bounds of rollouts; undefined if this fleet doesn't tell versions of servers apart. */
  readonly rollouts?: RolloutBounds | undefined
  readonly capacity?: VmCapacity | undefined
  /** What the process may use; the default is `defaultResources`. */
  readonly resources?: ResourceSettings | undefined
  readonly times: FleetTimes
  readonly log: LogSettings
}
