/** Runs a VM in this process until a signal has stopped it. */
import { getErrorMessage } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { getCurrentTime } from '../utils/clock.js'
import { log } from '../utils/logging.js'
import type { Logs } from '../utils/logging.js'
import { listenForStop } from '../utils/stopSignal.js'

/** A VM that was started in this process. */
export interface RunningVm {
  readonly logs: Logs
  /** Stops the VM gracefully: requests in progress are finished. */
  readonly leave: () => Promise<void>
  /** Logs a signal to stop; `firstAt` is the time of the first one, undefined for the first itself. */
  readonly reportSignal: (signal: string, firstAt: Millis | undefined) => void
}

/**
 * Starts a VM and stops it at a signal, which may arrive while it starts. A second interrupt ends the process at once.
 *
 * @param failedStatus exit status of a process that ends at once
 */
export async function runUntilStopped<Vm extends RunningVm> (start: () => Promise<Vm>, failedStatus: number): Promise<Vm> {
  const state: { vm?: Vm, stoppedAt?: Millis } = {}
  const stopSignal = listenForStop(() => {
    state.vm?.reportSignal('SIGINT', state.stoppedAt)
    process.exit(failedStatus)
  })
  const vm = state.vm = await start()
  stopSignal.onRepeat = signal => log(vm.logs, 'daemon', 'info', 'Signal ignored: the VM is stopping already.', { signal })
  const signal = await stopSignal.received
  vm.reportSignal(signal, undefined)
  state.stoppedAt = getCurrentTime()
  await vm.leave().catch((err: unknown) => log(vm.logs, 'daemon', 'error', 'The stop failed.', { error: getErrorMessage(err) }))
  return vm
}
