/** The permits of one entry VM, the requests that wait for them, and the reserves. */
import type { Millis, Random, TeamName } from '@lynxcourse/base'
import type { IssuerHealth, Permit, PermitStore, RateBound, RateLimit, TeamIssuers } from '@lynxcourse/limits'
import type { Logs } from '../../utils/logging.js'
import type { PermitChannel } from './permitChannel.js'

/** Why a request gets no permit: its team is over its rate, or issuers that may have some can't be reached. */
export interface PermitRefusal {
  readonly type: 'refuse'
  readonly reason: 'overRate' | 'noPermits'
  readonly retryAfterMs: Millis
}

export type PermitResult = { readonly type: 'permit', readonly permit: Permit } | PermitRefusal

export interface Waiter {
  readonly settle: (result: PermitResult) => void
  /** Time until which the request may wait. */
  readonly until: Millis
}

/** One team's requests that wait for permits. */
export interface TeamQueue {
  readonly issuers: TeamIssuers
  waiting: Waiter[]
  /** Issuers that had no permit left since the first of these requests began to wait. */
  empty: Set<string>
  /** Whether no issuer was asked for these requests yet. */
  isFresh: boolean
  /** Issuer that these requests were last asked for at; undefined if it answered. */
  askedFrom: string | undefined
}

/** What the reserves of this VM depend on, beside the number of issuers. */
export interface ReserveInputs {
  readonly limits: ReadonlyMap<TeamName, RateLimit>
  readonly bound: RateBound
  /** Position of this VM among the sorted names of all entry VMs. */
  readonly index: number
  /** Number of entry VMs. */
  readonly count: number
}

export type DividedReserves = ReserveInputs & { readonly members: number | undefined }

/** The permits of one entry VM. */
export interface TeamPermits {
  readonly channel: PermitChannel
  readonly logs: Logs
  readonly random: Random
  readonly store: PermitStore
  readonly health: IssuerHealth
  readonly queues: Map<TeamName, TeamQueue>
  /** Teams with requests that wait. */
  readonly waiting: Set<TeamName>
  /** Number of control VMs that may issue permits; undefined before the first answer. */
  members: number | undefined
  /** What the present reserves were divided by. */
  divided: DividedReserves | undefined
  /** Position among the teams at which the next question for reserves begins. */
  nextReserve: number
  /** Whether a look at the requests that wait, or at the reserves, is due. */
  isWatching: boolean
  isRefillDue: boolean
  /** Whether requests began to wait whose question is still to be asked. */
  isBatchDue: boolean
  /** When such a question was last asked. */
  batchAt: Millis
}
