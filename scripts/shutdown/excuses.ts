/** Broken requests for which a VM that stops is not to blame. */
import { crossedClose } from './callerConnection.js'
import type { ObservedRequest, ObservedRun, ShutdownHistory } from './types.js'

/**
 * Why a broken request is no loss:
 * - `left`: its caller closed its half of the connection, which a VM can't tell from a close
 * - `crossed`: it was sent before its caller had read the announcement of the close, and was not passed on
 * - `unread`: the kernel reset its connection, none of whose requests was answered or passed on: it held bytes that the process had
 *   not read, or had never handed the connection to the process
 */
export type Excuse = 'left' | 'crossed' | 'unread'

/** The requests and runs of each connection. */
export interface ConnectionRecords {
  readonly runs: ReadonlyMap<string, readonly ObservedRun[]>
  readonly byConnection: ReadonlyMap<string, readonly ObservedRequest[]>
}

export function groupByConnection (history: ShutdownHistory, runs: ConnectionRecords['runs']): ConnectionRecords {
  const byConnection = new Map<string, ObservedRequest[]>()
  for (const request of history.requests.values()) {
    const { connection } = request
    if (connection !== undefined) byConnection.set(connection, [...byConnection.get(connection) ?? [], request])
  }
  return { runs, byConnection }
}

/** Returns why a broken request is no loss; undefined if it may be one. */
export function getExcuse (records: ConnectionRecords, request: ObservedRequest): Excuse | undefined {
  const { end, id, connection, habit } = request
  if (end?.type !== 'broken') return undefined
  if (habit === 'halfClose') return 'left'
  if (records.runs.has(id)) return undefined
  if (end.detail === crossedClose) return 'crossed'
  const others = connection === undefined ? [request] : records.byConnection.get(connection) ?? []
  return others.every(other => wasReset(other) && !records.runs.has(other.id)) ? 'unread' : undefined
}

function wasReset ({ end }: ObservedRequest): boolean {
  return end?.type === 'broken' && end.receivedBytes === 0 && end.detail === 'ECONNRESET'
}
