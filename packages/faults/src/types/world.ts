/** The small system that the fault matrix drives: hosts made of the project's own decision modules. */
import type { Entry, Replica, StoredLog } from '@lynxcourse/agreement'
import type { Chart, DrainId, HolderId, Millis, RequestId, ResourceId, VmId } from '@lynxcourse/base'
import type { ConfigLease } from '@lynxcourse/membership'
import type { Grantor, HolderLimits } from '@lynxcourse/limits'
import type { CommandAnswer, ChangeAnswer, Config, StateMachine, StateMachineCharts } from '@lynxcourse/state'
import type { VmProgress } from '@lynxcourse/steering'
import type { Host, Network } from '../core/network.js'

/** Steps at which a fault can strike. */
export const steps = ['lookup', 'claim', 'dispatch', 'answer', 'publish', 'grant', 'shiftStep', 'drainStep', 'repair'] as const
export type Step = typeof steps[number]

export interface Charts extends StateMachineCharts {
  readonly attempt: Chart
  readonly role: Chart
}

/** What lasts when a control VM's process dies. */
export interface Disk {
  incarnation: string
  cluster: boolean
  stored: StoredLog | undefined
}

interface Placed {
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
  placed: Map<number, Placed>
  grantor: Grantor
  progress: Map<HolderId, VmProgress & { readonly loads: number }>
  drainsSeen: Map<DrainId, Millis>
  view: Config
  currency: ConfigLease
}

export interface EntryModel {
  readonly kind: 'entry'
  readonly host: Host
  readonly vm: VmId
  holder: HolderId
  config: Config
  currency: ConfigLease
  limits: HolderLimits
  leader: string | undefined
  /** Control VM asked last. */
  asked: number
  nextToken: number
  inFlight: Map<string, number>
  syncing: boolean
  reporting: boolean
  silentReports: boolean
}

export interface ServerModel {
  readonly host: Host
  readonly domain: string
  readonly region: string
  readonly slots: number
  busy: number
  /** Connections from entry VMs that went silent for good. */
  readonly silentFrom: Set<string>
}

export type Told = 'done' | 'notRun' | 'unknown' | 'taken' | 'refused'

/** One once-only request and its copies. */
export interface Tracked {
  readonly id: RequestId
  runs: number
  readonly told: Told[]
  copies: number
}

/** A copy of a request at one entry VM. */
export interface OpenCopy {
  readonly id: RequestId
  readonly isAlive: () => boolean
  readonly isEnded: () => boolean
}

/** What has been seen so far that the promises are judged by. */
export interface Checks {
  readonly violations: string[]
  readonly committed: Map<number, Entry>
  readonly requests: Map<RequestId, Tracked>
  /** Copies handed in, to see at the end that each got its answer unless its VM died. */
  readonly open: OpenCopy[]
  /** When a drain was first applied, by target server. */
  readonly drained: Map<string, Millis>
  /** When a configuration version was first applied anywhere. */
  readonly applied: Map<number, Millis>
  readonly answers: Map<string, ChangeAnswer>
  /** Requests in flight per resource over all entry VMs, living or dead. */
  readonly load: Map<ResourceId, number>
  /** Caps in force, newest last. */
  readonly caps: Array<{ readonly at: Millis, readonly cap: number }>
  /** Whether a majority of disks was lost at once: then the system must stand still, and does no harm. */
  majorityLost: boolean
  accepted: number
  granted: number
  reads: number
  readsAnswered: number
  /** How often each step was passed. */
  readonly passed: Map<Step, number>
}

export interface Armed {
  readonly step: Step
  left: number
  readonly strike: (host: Host) => void
}

export interface World {
  readonly network: Network
  readonly charts: Charts
  readonly controls: ControlModel[]
  readonly entries: EntryModel[]
  readonly servers: ServerModel[]
  readonly checks: Checks
  /** Faults that wait for their step. */
  armed: Armed[]
  /** Guards that a test removes to show that the checks can fail. */
  readonly without: ReadonlySet<Guard>
}

/** Guards of the system that can be taken out, one at a time. */
export type Guard = 'claim' | 'lease' | 'newIncarnation' | 'recordNotRun' | 'preSync'
