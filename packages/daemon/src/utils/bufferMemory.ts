/**
 * Collects garbage before buffers fill the memory of the process.
 *
 * The runtime paces its collections by the limit on its heap, to which buffers don't belong. While many large bodies pass through, the
 * buffers that are not in use any more can take several times the memory of those that are.
 */
import { getHeapStatistics, setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

export interface BufferMemory {
  /** Size of all buffers from which they are collected. */
  readonly maxBytes: number
  /** Bytes of new buffers after which they are collected again. */
  readonly growthBytes: number
  /** Bytes of new buffers since the last check. */
  uncheckedBytes: number
  /** Size of all buffers after the last collection. */
  collectedBytes: number
  collect: (() => void) | undefined
}

const bytesPerCheck = 1_048_576
/** Fractions of the memory of the process. */
const maxFraction = 1 / 5
const growthFraction = 1 / 16

export function createBufferMemory (memoryBytes: number): BufferMemory {
  return { maxBytes: memoryBytes * maxFraction, growthBytes: memoryBytes * growthFraction, uncheckedBytes: 0, collectedBytes: 0, collect: undefined }
}

/** Records that a part of a body was read, and collects garbage if the buffers have become too large. */
export function recordBufferUse (memory: BufferMemory, bytes: number): void {
  memory.uncheckedBytes += bytes
  if (memory.uncheckedBytes < bytesPerCheck) return
  memory.uncheckedBytes = 0
  const { external_memory: size } = getHeapStatistics()
  memory.collectedBytes = Math.min(memory.collectedBytes, size)
  if (size < memory.maxBytes || size - memory.collectedBytes < memory.growthBytes) return
  memory.collect ??= createCollector()
  memory.collect()
  memory.collectedBytes = getHeapStatistics().external_memory
}

/** Returns the runtime's function for a collection, which it gives to contexts that are created under this flag only. */
function createCollector (): () => void {
  setFlagsFromString('--expose-gc')
  return runInNewContext('gc') as () => void
}
