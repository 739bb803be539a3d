/** Bounds the memory of the bodies of callers' requests. One body may exceed the bound, since it may be larger than all of it. */

/** The bodies that are being read or used. */
export interface BodyMemory {
  readonly maxBytes: number
  /** Bytes of all bodies but the one that exceeds the bound. */
  bytes: number
  /** The body that exceeds the bound; undefined if none does. */
  excess: HeldBody | undefined
}

/** The part of a body that is in memory. */
export interface HeldBody {
  bytes: number
}

export function createBodyMemory (maxBytes: number): BodyMemory {
  return { maxBytes, bytes: 0, excess: undefined }
}

/** Takes memory for a part of a body; returns false if there is none left. */
export function tryHoldPart (memory: BodyMemory, body: HeldBody, bytes: number): boolean {
  if (memory.excess !== body) {
    if (memory.bytes + bytes <= memory.maxBytes) memory.bytes += bytes
    else if (memory.excess === undefined) {
      memory.excess = body
      memory.bytes -= body.bytes
    } else return false
  }
  body.bytes += bytes
  return true
}

/** Returns the memory of a body. */
export function releaseBody (memory: BodyMemory, body: HeldBody): void {
  if (memory.excess === body) memory.excess = undefined
  else memory.bytes -= body.bytes
  body.bytes = 0
}
