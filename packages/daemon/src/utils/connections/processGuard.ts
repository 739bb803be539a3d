/** The guard of a process, with the limits that its settings and its heap allow. */
import { getHeapStatistics } from 'node:v8'
import { defaultResources, deriveConnectionLimits } from '@lynxcourse/limits'
import { log } from '../logging.js'
import type { Logs } from '../logging.js'
import type { Metrics } from '../metrics.js'
import { createConnectionGuard } from './connectionGuard.js'
import type { ConnectionGuard, ConnectionLimit, GuardedConnection } from './guardedConnection.js'

/** What a process may use according to its settings; undefined fields have the values of `defaultResources`. */
export interface ResourceSettings {
  readonly memoryMb: number | undefined
  /** File descriptors. */
  readonly descriptors: number | undefined
}

const bytesPerMb = 1_048_576

/** Returns the memory that the process may use. */
export function getMemoryBytes (resources: ResourceSettings | undefined): number {
  return resources?.memoryMb === undefined ? defaultResources.memoryBytes : resources.memoryMb * bytesPerMb
}

/** Opens the guard of this process. Disposal stops its checks. */
export function openProcessGuard (logs: Logs, metrics: Metrics, resources: ResourceSettings | undefined): ConnectionGuard {
  const descriptors = resources?.descriptors ?? defaultResources.descriptors
  const limits = deriveConnectionLimits({ memoryBytes: getMemoryBytes(resources), descriptors, heapBytes: getHeapStatistics().heap_size_limit })
  return createConnectionGuard(limits, (limit, connection) => reportLimit(logs, metrics, limit, connection))
}

function reportLimit (logs: Logs, metrics: Metrics, limit: ConnectionLimit, { listener, socket, openRequests, unsentBytes, inputBytes }: GuardedConnection): void {
  metrics.connectionLimits.inc({ listener: listener.name, limit })
  log(logs, 'client', 'warn', 'A limit on connections acted.', { limit, listener: listener.name, address: socket.remoteAddress, openRequests, unsentBytes, inputBytes })
}
