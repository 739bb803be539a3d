/** Waits until this VM's copy has applied a version of the state. */
import type { Millis } from '@lynxcourse/base'
import { createNoQuorumError } from './hostState.js'
import type { ControlHost } from './hostState.js'

/**
 * Waits until the copy has a version of the state.
 *
 * @throws LynxError `noQuorum` if it has not received that version in time
 */
export async function waitUntilApplied (host: ControlHost, version: number, timeoutMs: Millis): Promise<void> {
  const isApplied = (): boolean => host.machine.config.version >= version
  if (isApplied()) return
  const { progressListeners } = host
  await new Promise<void>((resolve, reject) => {
    const finish = (): void => {
      clearTimeout(timer)
      progressListeners.splice(progressListeners.indexOf(check), 1)
    }
    // A listener that removes itself at once would make the caller of the listeners skip the next one.
    const check = (): void => { if (isApplied()) queueMicrotask(() => { finish(); resolve() }) }
    const timer = setTimeout(() => { finish(); reject(createNoQuorumError(timeoutMs, 'read')) }, timeoutMs)
    progressListeners.push(check)
  })
}
