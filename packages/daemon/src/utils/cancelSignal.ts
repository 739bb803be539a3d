/**
 * Tells that work is no longer wanted. `undici` takes any emitter of `abort` as its signal; an
 * `AbortController` costs some ten microseconds more for each request, most of it for the exception
 * with its stack that `abort()` makes.
 */
import { EventEmitter } from 'node:events'

export class CancelSignal extends EventEmitter {
  aborted = false

  /** Tells all listeners, once. */
  abort (): void {
    if (this.aborted) return
    this.aborted = true
    this.emit('abort')
  }
}

/** A cancel that follows another one. */
export function createLinkedSignal (outer: CancelSignal): CancelSignal {
  const inner = new CancelSignal()
  if (outer.aborted) inner.abort()
  outer.on('abort', () => inner.abort())
  return inner
}
