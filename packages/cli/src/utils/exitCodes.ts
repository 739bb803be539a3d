/** Exit codes of the command line. */
import { isLynxError } from '@lynxcourse/base'

export const exitCodes = {
  ok: 0,
  /** No VM answered, or the system could not do it now. */
  failed: 1,
  /** Wrong arguments or file. */
  badInput: 2,
  /** Another change came first. */
  conflict: 3,
  notFound: 4,
  /** `--wait` gave up; the change itself was accepted. */
  waitTimedOut: 5
} as const

/** The exit code for a caught error. */
export function exitCodeOf (err: unknown): number {
  if (!isLynxError(err)) return exitCodes.failed
  switch (err.code) {
    case 'badSettings':
    case 'badRequest':
    case 'badRequestId': return exitCodes.badInput
    case 'versionConflict': return exitCodes.conflict
    case 'notFound':
    case 'unknownService': return exitCodes.notFound
    default: return exitCodes.failed
  }
}
