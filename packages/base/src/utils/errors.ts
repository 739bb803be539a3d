/**
 * Every error that crosses a module boundary is a `LynxError`: it has a code from the table below, the step that failed,
 * the peer involved and, for invalid input, the path of the invalid field.
 */

/** Message templates by error code. `{detail}` is replaced by the detail of the error. */
export const errorTemplates = {
  badSettings: 'settings are not valid: {detail}',
  badRequest: 'request is not valid: {detail}',
  badRequestId: 'request id is not valid: {detail}',
  badChart: 'state chart is not valid: {detail}',
  badRpc: 'RPC message is not valid: {detail}',
  notAllowed: 'peer is not authorized: {detail}',
  unknownService: 'no profile serves this service: {detail}',
  versionConflict: 'version conflict: {detail}',
  notFound: 'not found: {detail}',
  notLeader: 'this VM is not the leader: {detail}',
  noQuorum: 'no quorum of control VMs answered: {detail}',
  notCurrent: 'this VM holds no valid configuration lease: {detail}',
  overCapacity: 'no capacity became available in time: {detail}',
  tooLate: 'deadline passed: {detail}',
  tooLarge: 'size limit exceeded: {detail}',
  peerFailed: 'peer failed: {detail}',
  cancelled: 'operation was cancelled: {detail}',
  diskFailed: 'disk operation failed: {detail}',
  corruptLog: 'log file is damaged: {detail}',
  registerFull: 'the register of claims is full: {detail}'
} as const

/** Code of an error; the key of its message template. */
export type ErrorCode = keyof typeof errorTemplates

/** Context in which an error occurred. */
export interface ErrorContext {
  /** The operation that failed, for example `claim` or `publish`. */
  readonly step?: string
  /** The VM or backend server at the other end. */
  readonly peer?: string
  /** Path of the invalid input field. */
  readonly field?: string
  /** The error that caused this one. */
  readonly cause?: unknown
}

/** The error class that all modules throw across their boundaries. */
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

/** Whether a caught value is a `LynxError` and, if a code is given, has that code. */
export function isLynxError (err: unknown, code?: ErrorCode): err is LynxError {
  if (!(err instanceof LynxError)) return false
  return code === undefined || err.code === code
}

/** Returns the message of a caught value of any type. */
export function getErrorMessage (err: unknown): string {
  return err instanceof Error ? err.message : String(err)
}
