/** Ends the process by the default action of a signal. */

const signalStatus = { SIGTERM: 143, SIGINT: 130 }

/**
 * Ends the process at once by a signal that has no handler any more. Unlike the signal itself, this runs the exit handlers before,
 * so that the log is written.
 */
export function endBySignal (signal: keyof typeof signalStatus): never {
  process.once('exit', () => { process.kill(process.pid, signal) })
  process.exit(signalStatus[signal])
}
