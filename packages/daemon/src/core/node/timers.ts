/** Timers of a daemon. */
import type { Millis } from '@lynxcourse/base'

/**
 * Runs a function at once and then repeatedly until disposal. Each run starts `intervalMs` after the end of the previous one;
 * disposal waits for a run in progress.
 *
 * @param onError called with an error that `work` throws; the runs continue
 */
export function repeat (intervalMs: Millis, work: () => Promise<void> | void, onError: (err: unknown) => void): AsyncDisposable {
  let timer: NodeJS.Timeout | undefined
  let running: Promise<void> = Promise.resolve()
  let stopped = false
  const run = (): void => {
    running = Promise.resolve().then(work).catch(onError).then(() => {
      if (!stopped) timer = setTimeout(run, intervalMs)
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

/** Resolves after a delay. */
export async function delay (ms: Millis): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
