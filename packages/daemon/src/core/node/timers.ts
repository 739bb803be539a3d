/** Repeated work of a daemon, one run at a time, ended by disposal. */
import type { Millis } from '@lynxcourse/base'

/**
 * Runs work again and again; a run starts only when the last one has ended.
 *
 * @param work must handle its own errors; one that escapes goes to `onError`
 */
export function repeat (everyMs: Millis, work: () => Promise<void> | void, onError: (err: unknown) => void): AsyncDisposable {
  let timer: NodeJS.Timeout | undefined
  let running: Promise<void> = Promise.resolve()
  let stopped = false
  const run = (): void => {
    running = Promise.resolve().then(work).catch(onError).then(() => {
      if (!stopped) timer = setTimeout(run, everyMs)
    })
  }
  run()
  return {
    [Symbol.asyncDispose]: async () => {
      stopped = true
      clearTimeout(timer)
      await running
    }
  }
}

/** Waits. */
export async function delay (ms: Millis): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
