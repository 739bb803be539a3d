/**
 * Every error that crosses a module's border is a `LynxError`: a code from the one table below, the
 * step at which it arose, the peer that it concerns and, for bad input, the field at fault.
 */

/** Texts of all errors, by code. `{detail}` is replaced by the error's detail. */
export const errorTemplates = {
  badSettings: 'settings are not valid: {detail}',
  badRequest: 'request is not valid: {detail}',
  badRequestId: 'request id is not usable: {detail}',
  badChart: 'state chart is not valid: {detail}',
  badRpc: 'RPC message is not valid: {detail}',
  notAllowed: 'peer may not do this: {detail}',
  unknownService: 'no profile serves this service: {detail}',
  versionConflict: 'version conflict: {detail}',
  notFound: 'not found: {detail}',
  notLeader: 'this VM does not lead: {detail}',
  noQuorum: 'no quorum of control VMs answered: {detail}',
  notCurrent: 'this VM does not hold a lease on being current: {detail}',
  overCapacity: 'no capacity in time: {detail}',
  tooLate: 'deadline passed: {detail}',
  tooLarge: 'over the size limit: {detail}',
  peerFailed: 'peer failed: {detail}',
  cancelled: 'no longer wanted: {detail}',
  diskFailed: 'disk failed: {detail}',
  corruptLog: 'log file is damaged: {detail}',
  registerFull: 'the register of claims is full: {detail}'
} as const

/** Code of an error; the key of its text. */
export type ErrorCode = keyof typeof errorTemplates

/** Where an error arose. */
export interface ErrorContext {
  /** What was being done, for example `claim` or `publish`. */
  readonly step?: string
  /** The VM or backend server at the other end. */
  readonly peer?: string
  /** Path of the input field at fault. */
  readonly field?: string
  /** The error that led to this one. */
  readonly cause?: unknown
}

/** The one error class that modules throw to each other. */
export class LynxError extends Error {
  readonly code: ErrorCode
  readonly step: string | undefined
  readonly peer: string | undefined
  readonly field: string | undefined

  constructor (code: ErrorCode, detail: string, context: ErrorContext = {}) {
    super(errorTemplates[code].replace('{detail}', detail), { cause: context.cause })
    this.name = 'LynxError'
    this.code = code
    this.step = context.step
    this.peer = context.peer
    this.field = context.field
  }
}

/** Whether a caught value is a `LynxError`, of the given code if one is given. */
export function isLynxError (err: unknown, code?: ErrorCode): err is LynxError {
  if (!(err instanceof LynxError)) return false
  return code === undefined || err.code === code
}

/** The message of any caught value. */
export function getErrorMessage (err: unknown): string {
  return err instanceof Error ? err.message : String(err)
}
