/** The commands that the replicated log carries and the answers that applying them returns. */
import type {
  ChangeId, DrainId, HolderId, ProfileName, RegionId, RequestId, ResourceId, ServiceId, ShiftId
} from '@lynxcourse/base'
import * as z from 'zod'
import type { CrashCommand } from './crashes.js'
import { createNameSchema, profileSchema } from './profile.js'
import type { RolloutCommand } from './rollouts.js'
import type { RouteCommand } from './routes.js'

/** The kinds of targets that a drain can empty. */
export type DrainKind = 'server' | 'vm' | 'failureDomain' | 'region'

export interface DrainTarget {
  readonly kind: DrainKind
  readonly name: string
}

const changeId = z.string().min(8).max(64) as unknown as z.ZodType<ChangeId>
const createIdSchema = <Id extends string>() => z.string().min(1).max(64) as unknown as z.ZodType<Id>
const operator = z.string().min(1).max(64)
const commonFields = { changeId, operator }

/** Schema of a change that an operator may request. */
export const changeSchema = z.discriminatedUnion('type', [
  z.strictObject({ ...commonFields, type: z.literal('publishProfile'), expectedVersion: z.number().int().min(0), profile: profileSchema }),
  z.strictObject({ ...commonFields, type: z.literal('retireProfile'), expectedVersion: z.number().int().min(0), name: createNameSchema<ProfileName>() }),
  z.strictObject({ ...commonFields, type: z.literal('pickProfile'), service: createNameSchema<ServiceId>(), profile: createNameSchema<ProfileName>() }),
  z.strictObject({
    ...commonFields,
    type: z.literal('startDrain'),
    drain: createIdSchema<DrainId>(),
    target: z.strictObject({ kind: z.enum(['server', 'vm', 'failureDomain', 'region']), name: z.string().min(1).max(64) }),
    /** Unix milliseconds; 0 means now. */
    at: z.number().int().min(0).default(0)
  }),
  z.strictObject({ ...commonFields, type: z.literal('cancelDrain'), drain: createIdSchema<DrainId>() }),
  z.strictObject({
    ...commonFields,
    type: z.literal('startShift'),
    shift: createIdSchema<ShiftId>(),
    service: createNameSchema<ServiceId>(),
    from: createNameSchema<RegionId>(),
    to: createNameSchema<RegionId>(),
    /** Percentage of the traffic that the whole shift moves. */
    percent: z.number().int().min(1).max(100),
    /** Maximum percentage that one step moves. */
    stepPercent: z.number().int().min(1).max(100).default(10),
    /** Maximum number of moved requests in flight; defaults to the profile's `shiftCap`. */
    cap: z.number().int().min(0).max(1_000_000).optional()
  }),
  z.strictObject({ ...commonFields, type: z.literal('steerShift'), shift: createIdSchema<ShiftId>(), event: z.enum(['stop', 'resume', 'cancel']) })
])

/** A change that an operator requests. */
export type Change = z.output<typeof changeSchema>

/** A change as operators write it: fields with defaults may be missing. */
export type ChangeInput = z.input<typeof changeSchema>

/** A backend server's answer, stored so that a caller who resends the request gets the same answer. */
export interface StoredAnswer {
  readonly status: number
  readonly contentType: string
  /** Base64; undefined if the answer exceeded the size limit for stored answers. */
  readonly body: string | undefined
}

/** The outcome of a claimed request. */
export type ClaimOutcome = 'done' | 'notRun' | 'unknown'

/** Claims a request id for one holder before the request is sent to a backend server. */
export interface ClaimCommand {
  readonly type: 'claim'
  readonly id: RequestId
  readonly holder: HolderId
  /** Distinguishes copies of the same request at one VM. */
  readonly token: string
}

/**
 * Records the outcome of a claim. With the outcome `notRun`, also records an id that was never claimed, so that nobody can
 * claim it later.
 */
export interface SettleCommand {
  readonly type: 'settle'
  readonly id: RequestId
  readonly holder: HolderId
  readonly token: string
  readonly outcome: ClaimOutcome
  readonly answer: StoredAnswer | undefined
}

/** The new amount of one holder's share of a cap. */
export interface AllocationChange {
  readonly resource: ResourceId
  readonly holder: HolderId
  readonly amount: number
}

/** Sets shares of caps. The leader plans them, and the state machine checks them against the caps. */
export interface AllocateCommand {
  readonly type: 'allocate'
  readonly changes: readonly AllocationChange[]
  /** Shares whose earlier, higher grants have expired at their holders. */
  readonly lapsed: readonly AllocationChange[]
}

/** Advances a shift. The leader plans this command. */
export interface AdvanceShiftCommand {
  readonly type: 'advanceShift'
  readonly shift: ShiftId
  readonly event: 'stepDone' | 'settled' | 'finish'
  readonly fromPercent: number
  readonly percent: number
}

/** Advances a drain. The leader plans this command. */
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
  | CrashCommand
  | RolloutCommand

/** The accepted change that caused another change's version conflict. */
export interface WinningChange {
  readonly version: number
  readonly changeId: ChangeId
  readonly operator: string
}

export type ChangeAnswer =
  | { readonly ok: true, readonly version: number, readonly itemVersion: number }
  | { readonly ok: false, readonly code: 'versionConflict' | 'notFound' | 'badRequest', readonly detail: string, readonly winner: WinningChange | undefined }

/** Answer to a claim. Only `granted` lets the holder send the request. */
export type ClaimAnswer =
  | { readonly result: 'granted' }
  | { readonly result: 'taken', readonly state: string, readonly answer: StoredAnswer | undefined }
  | { readonly result: 'refused', readonly code: 'badRequestId' | 'registerFull', readonly detail: string }

/** Answer to a `settle` command: the state of the id in the register. */
export interface SettleAnswer {
  readonly state: string
  /** Whether the register holds the reported outcome for this holder or, for `notRun`, for any holder. */
  readonly accepted: boolean
}

export type CommandAnswer =
  | { readonly type: 'change', readonly change: ChangeAnswer }
  | { readonly type: 'claim', readonly claim: ClaimAnswer }
  | { readonly type: 'settle', readonly settle: SettleAnswer }
  /** The command could not be applied; what it changed before it failed stays, the same on every replica. */
  | { readonly type: 'failed', readonly detail: string }
  | { readonly type: 'none' }
