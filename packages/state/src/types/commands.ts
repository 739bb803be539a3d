/** Commands that the replicated log carries and the answers that applying them gives. */
import type {
  ChangeId, DrainId, HolderId, ProfileName, RegionId, RequestId, ResourceId, ServiceId, ShiftId
} from '@lynxcourse/base'
import * as z from 'zod'
import { createNameSchema, profileSchema } from './profile.js'
import type { RouteCommand } from './routes.js'

/** What a drain empties. */
export type DrainKind = 'server' | 'vm' | 'failureDomain' | 'region'

export interface DrainTarget {
  readonly kind: DrainKind
  readonly name: string
}

const changeId = z.string().min(8).max(64) as unknown as z.ZodType<ChangeId>
const id = <Id extends string>() => z.string().min(1).max(64) as unknown as z.ZodType<Id>
const operator = z.string().min(1).max(64)
const common = { changeId, operator }

/** Schema of a change that an operator may ask for. */
export const changeSchema = z.discriminatedUnion('type', [
  z.strictObject({ ...common, type: z.literal('publishProfile'), expectedVersion: z.number().int().min(0), profile: profileSchema }),
  z.strictObject({ ...common, type: z.literal('retireProfile'), expectedVersion: z.number().int().min(0), name: createNameSchema<ProfileName>() }),
  z.strictObject({ ...common, type: z.literal('pickProfile'), service: createNameSchema<ServiceId>(), profile: createNameSchema<ProfileName>() }),
  z.strictObject({
    ...common,
    type: z.literal('startDrain'),
    drain: id<DrainId>(),
    target: z.strictObject({ kind: z.enum(['server', 'vm', 'failureDomain', 'region']), name: z.string().min(1).max(64) }),
    /** Unix milliseconds; 0 means now. */
    at: z.number().int().min(0).default(0)
  }),
  z.strictObject({ ...common, type: z.literal('cancelDrain'), drain: id<DrainId>() }),
  z.strictObject({
    ...common,
    type: z.literal('startShift'),
    shift: id<ShiftId>(),
    service: createNameSchema<ServiceId>(),
    from: createNameSchema<RegionId>(),
    to: createNameSchema<RegionId>(),
    /** Share of the traffic to move in the end. */
    percent: z.number().int().min(1).max(100),
    /** Largest step. */
    stepPercent: z.number().int().min(1).max(100).default(10),
    /** Most moved requests in flight; the profile's `shiftCap` when left out. */
    cap: z.number().int().min(0).max(1_000_000).optional()
  }),
  z.strictObject({ ...common, type: z.literal('steerShift'), shift: id<ShiftId>(), event: z.enum(['stop', 'resume', 'cancel']) })
])

/** A change that an operator asks for. */
export type Change = z.output<typeof changeSchema>

/** A change as it may be written, with defaults left out. */
export type ChangeInput = z.input<typeof changeSchema>

/** A backend server's answer, kept so that a caller who asks again gets it again. */
export interface StoredAnswer {
  readonly status: number
  readonly contentType: string
  /** Base64; undefined when the answer was over the size that is kept. */
  readonly body: string | undefined
}

/** How a claimed request ended. */
export type ClaimOutcome = 'done' | 'notRun' | 'unknown'

/** Takes a request id for one holder, before anything is sent to a backend server. */
export interface ClaimCommand {
  readonly type: 'claim'
  readonly id: RequestId
  readonly holder: HolderId
  /** Tells two copies of one request apart at the same VM. */
  readonly token: string
}

/** Ends a claim. With a claim not yet recorded and `notRun`, records the id as spent. */
export interface SettleCommand {
  readonly type: 'settle'
  readonly id: RequestId
  readonly holder: HolderId
  readonly token: string
  readonly outcome: ClaimOutcome
  readonly answer: StoredAnswer | undefined
}

/** One holder's share of a cap. */
export interface AllocationChange {
  readonly resource: ResourceId
  readonly holder: HolderId
  readonly amount: number
}

/** Sets shares of caps; the leader plans them, applying checks them. */
export interface AllocateCommand {
  readonly type: 'allocate'
  readonly changes: readonly AllocationChange[]
  /** Shares whose former, higher amounts have run out at their holders. */
  readonly lapsed: readonly AllocationChange[]
}

/** Moves a shift on; planned by the leader. */
export interface AdvanceShiftCommand {
  readonly type: 'advanceShift'
  readonly shift: ShiftId
  readonly event: 'stepDone' | 'settled' | 'finish'
  readonly fromPercent: number
  readonly percent: number
}

/** Moves a drain on; planned by the leader. */
export interface AdvanceDrainCommand {
  readonly type: 'advanceDrain'
  readonly drain: DrainId
  readonly event: 'due' | 'empty'
}

export type Command =
  | Change
  | ClaimCommand
  | SettleCommand
  | AllocateCommand
  | AdvanceShiftCommand
  | AdvanceDrainCommand
  | RouteCommand

/** Who made the version that another change ran into. */
export interface Winner {
  readonly version: number
  readonly changeId: ChangeId
  readonly operator: string
}

export type ChangeAnswer =
  | { readonly ok: true, readonly version: number, readonly itemVersion: number }
  | { readonly ok: false, readonly code: 'versionConflict' | 'notFound' | 'badRequest', readonly detail: string, readonly winner: Winner | undefined }

/** Answer to a claim. Only `granted` lets the holder send the request. */
export type ClaimAnswer =
  | { readonly result: 'granted' }
  | { readonly result: 'taken', readonly state: string, readonly answer: StoredAnswer | undefined }
  | { readonly result: 'refused', readonly code: 'badRequestId' | 'registerFull', readonly detail: string }

/** Answer to a settle: what the register now says of the id. */
export interface SettleAnswer {
  readonly state: string
  /** Whether the register says what was asked for, in this holder's name or, for not-run, in any. */
  readonly accepted: boolean
}

export type CommandAnswer =
  | { readonly type: 'change', readonly change: ChangeAnswer }
  | { readonly type: 'claim', readonly claim: ClaimAnswer }
  | { readonly type: 'settle', readonly settle: SettleAnswer }
  | { readonly type: 'none' }
