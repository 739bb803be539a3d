/** Types of the modelled system that the fault matrix runs: its hosts run the product's decision modules. */
import type { Entry, Replica, StoredLog } from '@lynxcourse/agreement'
import type { Chart, DrainId, HolderId, Millis, RequestId, ResourceId, VmId } from '@lynxcourse/base'
import type { ConfigLease } from '@lynxcourse/membership'
import type { Grantor, HolderLimits } from '@lynxcourse/limits'
import type { CommandAnswer, ChangeAnswer, Config, StateMachine, StateMachineCharts } from '@lynxcourse/state'
import type { VmProgress } from '@lynxcourse/steering'
import type { Host, Network } from '../core/network.js'

/** Protocol steps at which a fault can be injected. */
export const steps = ['lookup', 'claim', 'dispatch', 'answer', 'publish', 'grant', 'shiftStep', 'drainStep', 'repair'] as const
export type Step = typeof steps[number]

export interface Charts extends StateMachineCharts {
  readonly attempt: Chart
  readonly role: Chart
}

/** Persistent state of a control VM; it survives the death of the process. */
export interface Disk {
  incarnation: string
  cluster: boolean
  stored: StoredLog | undefined
}

/** A proposed command whose log entry is not yet committed. */
interface PendingProposal {
  readonly term: number
  readonly done: (answer: CommandAnswer) => void
}

export interface ControlModel {
  readonly kind: 'control'
  readonly host: Host
  readonly vm: VmId
  disk: Disk
  replica: Replica | undefined
  machine: StateMachine
  pendingProposals: Map<number, PendingProposal>
  grantor: Grantor
  progress: Map<HolderId, VmProgress & { readonly loads: number }>
  drainFirstSeenAt: Map<DrainId, Millis>
  publishedConfig: Config
  configLease: ConfigLease
}

export interface EntryModel {
  readonly kind: 'entry'
  readonly host: Host
  readonly vm: VmId
  holder: HolderId
  config: Config
  configLease: ConfigLease
  limits: HolderLimits
  leader: string | undefined
  /** Index of the control VM that this VM syncs from, modulo the number of control VMs. */
  controlIndex: number
  nextToken: number
  inFlight: Map<string, number>
  isSyncing: boolean
  isReporting: boolean
  areReportsStopped: boolean
}

export interface ServerModel {
  readonly host: Host
  readonly domain: string
  readonly region: string
  readonly slots: number
  busy: number
  /** Entry VMs whose messages to this server get no response while the fault lasts. */
  readonly silentEntryVms: Set<string>
}

export type CallerOutcome = 'done' | 'notRun' | 'unknown' | 'taken' | 'refused'

/** A once-only request and the outcomes of its copies. */
export interface TrackedRequest {
  readonly id: RequestId
  runs: number
  readonly outcomes: CallerOutcome[]
  copies: number
}

/** One copy of a request, at one entry VM. */
export interface OpenCopy {
  readonly id: RequestId
  readonly isAlive: () => boolean
  readonly isEnded: () => boolean
}

/** Observations that the invariants are checked against, and the violations found so far. */
export interface Checks {
  readonly violations: string[]
  readonly committed: Map<number, Entry>
  readonly requests: Map<RequestId, TrackedRequest>
  /** All submitted copies. At the end, each one must have an answer unless its VM died. */
  readonly open: OpenCopy[]
  /** Time at which a drain was first applied, by target server. */
  readonly drained: Map<string, Millis>
  /** Time at which the first control VM applied a configuration version. */
  readonly applied: Map<number, Millis>
  readonly answers: Map<string, ChangeAnswer>
  /** Requests in flight per resource, over all entry VMs including dead ones. */
  readonly load: Map<ResourceId, number>
  /** Caps that were in force, newest last. */
  readonly caps: Array<{ readonly at: Millis, readonly cap: number }>
  /** Whether a majority of disks was lost at once. The cluster then has no quorum, and safety must still hold. */
  majorityLost: boolean
  accepted: number
  granted: number
  reads: number
  readsAnswered: number
  /** Number of times that each step was reached. */
  readonly stepCounts: Map<Step, number>
}

/** A fault that is injected when its step has been reached `left` more times. */
export interface ArmedFault {
  readonly step: Step
  left: number
  readonly inject: (host: Host) => void
}

export interface World {
  readonly network: Network
  readonly charts: Charts
  readonly controls: ControlModel[]
  readonly entries: EntryModel[]
  readonly servers: ServerModel[]
  readonly checks: Checks
  /** Faults to inject at their step. */
  armedFaults: ArmedFault[]
  /** Guards that a test disables to show that the checks can fail. */
  readonly disabledGuards: ReadonlySet<Guard>
}

/** Guards of the protocols that a test can disable. */
export type Guard = 'claim' | 'lease' | 'newIncarnation' | 'recordNotRun' | 'preSync'
