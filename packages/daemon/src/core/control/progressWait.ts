/** Waits for the progress of this VM's copy of the state. */
import type { Millis } from '@lynxcourse/base'
import type { CancelSignal } from '../../utils/cancelSignal.js'
import type { ControlHost } from './hostState.js'

/**
 * Waits until a condition is true after progress of the copy, the time is over, or the signal is aborted. The condition is not checked at once.
 *
 * @param signal undefined if nobody can give the wait up
 */
export async function waitForProgress ({ progressListeners }: ControlHost, waitMs: Millis, signal: CancelSignal | undefined, isReached: () => boolean): Promise<void> {
  await new Promise<void>(resolve => {
    const finish = (): void => {
      clearTimeout(timer)
      signal?.off('abort', finish)
      const index = progressListeners.indexOf(check)
      if (index >= 0) progressListeners.splice(index, 1)
      resolve()
    }
    // A listener that removed itself at once would make the caller of the listeners skip the next one.
    const check = (): void => { if (isReached()) queueMicrotask(finish) }
    const timer = setTimeout(finish, waitMs)
    progressListeners.push(check)
    signal?.once('abort', finish)
  })
}

/** Waits until the copy has a version of the state; returns whether it has it in time. */
export async function waitUntilApplied (host: ControlHost, version: number, timeoutMs: Millis): Promise<boolean> {
  const isApplied = (): boolean => host.machine.config.version >= version
  if (!isApplied()) await waitForProgress(host, timeoutMs, undefined, isApplied)
  return isApplied()
}
