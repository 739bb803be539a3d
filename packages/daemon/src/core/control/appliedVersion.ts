/** Waits until this VM's copy has applied a version of the state. */
import type { Millis } from '@lynxcourse/base'
import type { ControlHost } from './hostState.js'

/** Waits until the copy has a version of the state; returns whether it has it in time. */
export async function waitUntilApplied (host: ControlHost, version: number, timeoutMs: Millis): Promise<boolean> {
  const isApplied = (): boolean => host.machine.config.version >= version
  if (isApplied()) return true
  const { progressListeners } = host
  return await new Promise<boolean>(resolve => {
    const finish = (): void => {
      clearTimeout(timer)
      const index = progressListeners.indexOf(check)
      if (index >= 0) progressListeners.splice(index, 1)
      resolve(isApplied())
    }
    // A listener that removed itself at once would make the caller of the listeners skip the next one.
    const check = (): void => { if (isApplied()) queueMicrotask(finish) }
    const timer = setTimeout(finish, timeoutMs)
    progressListeners.push(check)
  })
}
