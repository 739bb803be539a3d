/**
 * An abort signal for requests that are no longer needed.
 *
 * `undici` accepts any event emitter that emits `abort` as its signal. An `AbortController` costs about ten microseconds
 * more per request, most of which is the exception with a stack trace that `abort()` creates.
 */
import { EventEmitter } from 'node:events'

export class CancelSignal extends EventEmitter {
  aborted = false

  /** Emits `abort` to all listeners. Later calls do nothing. */
  abort (): void {
    if (this.aborted) return
    this.aborted = true
    this.emit('abort')
  }
}

/** Creates a signal that is aborted when `outer` is; aborting the new signal does not abort `outer`. */
export function createLinkedSignal (outer: CancelSignal): CancelSignal {
  const inner = new CancelSignal()
  if (outer.aborted) inner.abort()
  outer.on('abort', () => inner.abort())
  return inner
}
