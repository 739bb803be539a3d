/** Bounds the memory that work in progress of one kind may hold together. */
import { LynxError } from '@lynxcourse/base'

export interface ByteBudget {
  readonly maxBytes: number
  /** Bytes that work in progress holds. */
  bytes: number
}

export function createByteBudget (maxBytes: number): ByteBudget {
  return { maxBytes, bytes: 0 }
}

/**
 * Takes bytes, if they are available. Work that is larger than the budget may take them while no other is in progress.
 *
 * @param ownBytes bytes that the same work has taken before
 * @returns whether the bytes were taken
 */
export function tryTakeBytes (budget: ByteBudget, bytes: number, ownBytes = 0): boolean {
  if (budget.bytes > ownBytes && budget.bytes + bytes > budget.maxBytes) return false
  budget.bytes += bytes
  return true
}

export function returnBytes (budget: ByteBudget, bytes: number): void {
  budget.bytes -= bytes
}

/** The bytes that one piece of work has taken; they are returned at its disposal. */
export interface TakenBytes extends Disposable {
  /**
   * Takes further bytes.
   *
   * @throws LynxError `overCapacity` if they are not available
   */
  readonly take: (bytes: number) => void
}

/**
 * Takes bytes for one piece of work.
 *
 * @param step name of the operation, for errors
 * @param freeBytes work of at most this many bytes is not counted, so that small work goes on beside large work
 */
export function openTakenBytes (budget: ByteBudget, step: string, freeBytes = 0): TakenBytes {
  let size = 0
  let countedBytes = 0
  return {
    take: bytes => {
      const total = size + bytes
      const isCounted = total > freeBytes
      if (isCounted && !tryTakeBytes(budget, total - countedBytes, countedBytes)) {
        throw new LynxError('overCapacity', `${budget.bytes} of ${budget.maxBytes} bytes are held`, { step })
      }
      size = total
      if (isCounted) countedBytes = total
    },
    [Symbol.dispose]: () => returnBytes(budget, countedBytes)
  }
}
