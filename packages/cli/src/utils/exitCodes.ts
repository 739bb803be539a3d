/** Exit codes of the command line, and the mapping of errors to them. */
import { isLynxError } from '@lynxcourse/base'

export const exitCodes = {
  ok: 0,
  /** No VM answered, or the system could not execute the command now. */
  failed: 1,
  /** Invalid arguments or an invalid file. */
  badInput: 2,
  /** Another change was applied first. */
  conflict: 3,
  notFound: 4,
  /** `--wait` timed out; the change itself was accepted. */
  waitTimedOut: 5
} as const

/** Returns the exit code for an error. */
export function getExitCode (err: unknown): number {
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
