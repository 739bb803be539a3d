/**
 * What clients may make a process hold: connections, requests that are not answered, input that is not parsed, and answers that are not
 * read. The bounds are derived from what the process may use.
 */

/** What a process may use. */
export interface ProcessResources {
  readonly memoryBytes: number
  /** File descriptors. */
  readonly descriptors: number
  readonly heapBytes: number
}

/** Bounds over all connections of one process. */
export interface ConnectionLimits {
  /** Open sockets of all listeners and to other processes. */
  readonly sockets: number
  /** Connections to backend servers. */
  readonly serverConnections: number
  /** Requests that are not answered yet. Beyond these, a connection gets one at a time. */
  readonly openRequests: number
  /** Bytes of requests' heads and of input that is not parsed yet. */
  readonly inputBytes: number
  /** Bytes of answers that clients have not read. */
  readonly unsentBytes: number
  /** Bytes of requests' bodies. */
  readonly bodyBytes: number
  /** Bytes of answers of backend servers that are not complete yet. */
  readonly answerBytes: number
}

/** Bounds for one connection. */
export const connectionBounds = {
  /** Requests that are not answered yet. */
  openRequests: 64,
  /** Bytes of answers that the client has not read; beyond these, no further request is read. */
  unsentBytes: 65_536,
  /** Bytes that are read from the connection and not parsed; beyond these, the connection is not read from. */
  heldBytes: 16_384
} as const

/** Descriptors for files, and for what the runtime opens itself. */
const reservedDescriptors = 232
const minSockets = 64
/** Heap of one open request with what belongs to it. */
const heapBytesPerRequest = 51_200
/** Fraction of the sockets. The parts of the listeners leave as many. */
const serverFraction = 1 / 4
/** Fractions of the memory; what the program needs by itself takes the rest. */
const inputFraction = 1 / 16
const unsentFraction = 1 / 12
const bodyFraction = 1 / 7
const answerFraction = 1 / 12

/** What a process may use if its settings don't say. */
export const defaultResources: Omit<ProcessResources, 'heapBytes'> = { memoryBytes: 469_762_048, descriptors: 4096 }

export function deriveConnectionLimits ({ memoryBytes, descriptors, heapBytes }: ProcessResources): ConnectionLimits {
  const sockets = Math.max(minSockets, descriptors - reservedDescriptors)
  return {
    sockets,
    serverConnections: Math.floor(sockets * serverFraction),
    openRequests: Math.ceil(heapBytes / heapBytesPerRequest),
    inputBytes: Math.ceil(memoryBytes * inputFraction),
    unsentBytes: Math.ceil(memoryBytes * unsentFraction),
    bodyBytes: Math.ceil(memoryBytes * bodyFraction),
    answerBytes: Math.ceil(memoryBytes * answerFraction)
  }
}

/** Returns the number of connections that a listener may have. */
export function deriveListenerConnections ({ sockets }: ConnectionLimits, fraction: number): number {
  return Math.max(Math.floor(minSockets / 4), Math.floor(sockets * fraction))
}
