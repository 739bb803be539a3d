/** Collects the parts of a body. Small parts are copied together, since a `Buffer` of its own takes some hundred bytes of heap. */

export interface ByteCollector {
  parts: Buffer[]
  /** Where the next small parts go. */
  block: Buffer
  /** Bytes of the block in use. */
  usedBytes: number
  size: number
}

const smallPartBytes = 1024
const maxBlockBytes = 65_536
const noBytes = Buffer.alloc(0)

export function createByteCollector (): ByteCollector {
  return { parts: [], block: noBytes, usedBytes: 0, size: 0 }
}

/** Adds a part; a large one is kept as it is. */
export function collectBytes (collector: ByteCollector, part: Buffer): void {
  collector.size += part.length
  if (part.length >= smallPartBytes) {
    closeBlock(collector)
    collector.parts.push(part)
    return
  }
  if (collector.block.length - collector.usedBytes < part.length) startBlock(collector)
  part.copy(collector.block, collector.usedBytes)
  collector.usedBytes += part.length
}

/** Moves the used part of the block to the parts. */
function closeBlock (collector: ByteCollector): void {
  if (collector.usedBytes === 0) return
  collector.parts.push(collector.block.subarray(0, collector.usedBytes))
  collector.block = collector.block.subarray(collector.usedBytes)
  collector.usedBytes = 0
}

/** Starts a block that is as large as what was collected so far, within bounds. */
function startBlock (collector: ByteCollector): void {
  closeBlock(collector)
  collector.block = Buffer.allocUnsafe(Math.min(maxBlockBytes, Math.max(smallPartBytes, collector.size)))
}

/** Takes out the parts in their order, and empties the collector. */
export function takeParts (collector: ByteCollector): Buffer[] {
  closeBlock(collector)
  const { parts } = collector
  collector.parts = []
  collector.block = noBytes
  collector.size = 0
  return parts
}

/** Takes out everything that was collected as one buffer, and empties the collector. */
export function takeBytes (collector: ByteCollector): Buffer {
  const parts = takeParts(collector)
  return parts.length === 1 ? parts[0] as Buffer : Buffer.concat(parts)
}
