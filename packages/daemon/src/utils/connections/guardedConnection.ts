/** The state of the connections of one process, of which its listeners share the limits. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Millis } from '@lynxcourse/base'
import type { ConnectionLimits, ConnectionUse } from '@lynxcourse/limits'

/** A limit that acted on a connection. */
export type ConnectionLimit = 'connections' | 'heldInput' | 'input' | 'unsentAnswers' | 'notReading'

/** Reports that a limit acted. */
export type ReportLimit = (limit: ConnectionLimit, connection: GuardedConnection) => void

/** The connections of one process. */
export interface ConnectionGuard extends AsyncDisposable {
  readonly limits: ConnectionLimits
  readonly report: ReportLimit
  /** Connections whose held input is parsed in the next turn. */
  readonly ready: Set<GuardedConnection>
  /** Connections whose clients have answers to read. */
  readonly sending: Set<GuardedConnection>
  /** Connections with a part of a head. */
  readonly receiving: Set<GuardedConnection>
  openRequests: number
  inputBytes: number
  unsentBytes: number
  /** The part of `unsentBytes` that belongs to connections that are being closed. */
  closingBytes: number
  isTurnScheduled: boolean
}

/** A server whose connections are guarded. */
export interface GuardedListener {
  readonly guard: ConnectionGuard
  readonly name: string
  readonly maxConnections: number
  readonly connections: Set<GuardedConnection>
  /** Connections to close if another one has to be accepted, the first at the end; each with its progress at the time of the choice. */
  closable: Array<{ readonly connection: GuardedConnection, readonly progressAt: Millis }>
}

export interface GuardedConnection extends ConnectionUse {
  readonly listener: GuardedListener
  readonly socket: Socket
  /** Passes input to the HTTP parser. */
  readonly parse: (bytes: Buffer) => void
  /** Responses that are not sent yet, with the size of the heads of their requests. */
  readonly responses: Map<ServerResponse, number>
  hadRequest: boolean
  progressAt: Millis
  unsentBytes: number
  /** Bytes that its close gives back. */
  closingBytes: number
  /** Bytes of answers that wait in this process for their turn to be written. */
  reservedBytes: number
  lastRequest: IncomingMessage | undefined
  /** Input that was read and is not parsed yet. */
  held: Buffer
  /** Bytes of a head that is not complete. */
  headBytes: number
  /** Size of the heads of all `responses`. */
  openHeadBytes: number
  /** Bytes that count as input of the process. */
  inputBytes: number
  /** Whether reading from the socket was stopped because too much input is held. */
  isHalted: boolean
  /** Whether what still arrives is discarded. */
  isDiscarding: boolean
  /** Called when a limit closes the connection, which is before its socket reports the close. */
  onClosing: () => void
  /** Bytes that the operating system had not taken when the connection was last examined. */
  queuedBytes: number
}

const connections = new WeakMap<Socket, GuardedConnection>()

export function setGuardedConnection (connection: GuardedConnection): void {
  connections.set(connection.socket, connection)
}

/** Returns the guarded connection of a socket; undefined if its server is not guarded. */
export function getGuardedConnection (socket: Socket): GuardedConnection | undefined {
  return connections.get(socket)
}

/** Sets the function that is called when a limit closes a connection, before its socket reports the close. */
export function listenForClosing (socket: Socket, listener: () => void): void {
  const connection = connections.get(socket)
  if (connection !== undefined) connection.onClosing = listener
}

/** Whether requests may have been read from a connection that are not parsed yet. */
export function hasHeldInput (socket: Socket): boolean {
  const connection = connections.get(socket)
  return connection !== undefined && connection.held.length > 0
}

/** Closes a connection at a limit. An answer that isn't complete must not look so. */
export function closeAtLimit (connection: GuardedConnection, limit: ConnectionLimit): void {
  const { socket, listener: { guard }, unsentBytes, openRequests } = connection
  if (socket.destroyed) return
  guard.report(limit, connection)
  if (unsentBytes > 0 || openRequests > 0) socket.resetAndDestroy()
  else socket.destroy()
  connection.onClosing()
}
