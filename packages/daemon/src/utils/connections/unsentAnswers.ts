/** Counts the answers that clients have not read, and bounds them over all connections. */
import type { Socket } from 'node:net'
import type { Millis } from '@lynxcourse/base'
import { listSlowReaders } from '@lynxcourse/limits'
import { closeAtLimit, getGuardedConnection } from './guardedConnection.js'
import type { ConnectionGuard, GuardedConnection } from './guardedConnection.js'

/** A client that reads nothing of its answers for this long is given up. */
const maxStallMs: Millis = 30_000
/** Factor by which unsent answers may exceed their limit together with those of connections that are being closed. */
const maxOverrun = 1.25
/** Answers up to this size are never refused for lack of memory. */
const smallAnswerBytes = 65_536

/** Returns the bytes of answers that wait in the HTTP server behind the one that is being written. */
export function measureQueuedOutput ({ socket, responses }: GuardedConnection): number {
  let bytes = 0
  for (const res of responses.keys()) bytes += res.writableLength - (res.socket === null ? 0 : socket.writableLength)
  return bytes
}

/** Returns what a socket has not handed to the operating system. A large write shows its progress here only. */
function getQueuedBytes (socket: Socket): number {
  const { _handle: handle } = socket as Socket & { readonly _handle?: { readonly writeQueueSize?: number } }
  return handle?.writeQueueSize ?? 0
}

/** Counts again what a connection's client has not read. */
export function updateUnsent (connection: GuardedConnection, now: Millis): void {
  const { guard } = connection.listener
  if (connection.socket.destroyed) return
  const queuedBytes = getQueuedBytes(connection.socket)
  const unsentBytes = connection.socket.writableLength + measureQueuedOutput(connection) + connection.reservedBytes
  if (connection.unsentBytes === 0 || unsentBytes < connection.unsentBytes || queuedBytes < connection.queuedBytes) connection.progressAt = now
  connection.queuedBytes = queuedBytes
  setUnsent(connection, unsentBytes)
  if (guard.unsentBytes - guard.closingBytes > guard.limits.unsentBytes) closeSlowReaders(guard)
}

/** Sets the bytes that count as unsent. */
export function setUnsent (connection: GuardedConnection, bytes: number): void {
  const { guard } = connection.listener
  guard.unsentBytes += bytes - connection.unsentBytes
  connection.unsentBytes = bytes
  if (bytes > 0) guard.sending.add(connection)
  else guard.sending.delete(connection)
}

/** Closes connections until the rest is within the limit. What was written to them takes memory until their sockets have closed. */
function closeSlowReaders (guard: ConnectionGuard): void {
  for (const connection of listSlowReaders([...guard.sending].filter(({ socket }) => !socket.destroyed))) {
    if (guard.unsentBytes - guard.closingBytes <= guard.limits.unsentBytes) return
    setUnsent(connection, connection.unsentBytes - connection.reservedBytes)
    guard.closingBytes += connection.unsentBytes
    connection.closingBytes = connection.unsentBytes
    closeAtLimit(connection, 'unsentAnswers')
  }
}

/** Examines all connections whose clients have answers to read, and closes those that read nothing. */
export function checkReaders (guard: ConnectionGuard, now: Millis): void {
  for (const connection of [...guard.sending]) {
    updateUnsent(connection, now)
    if (connection.unsentBytes > connection.reservedBytes && now - connection.progressAt > maxStallMs) closeAtLimit(connection, 'notReading')
  }
}

/**
 * Counts an answer that waits in this process behind earlier ones of its connection, until disposal. If too much memory waits for the
 * close of sockets, the connection is closed, unless the answer is small.
 */
export function reserveUnsent (socket: Socket, bytes: number, now: Millis): Disposable {
  const connection = getGuardedConnection(socket)
  if (connection === undefined || bytes === 0 || socket.destroyed) return { [Symbol.dispose]: () => undefined }
  connection.reservedBytes += bytes
  updateUnsent(connection, now)
  const { guard } = connection.listener
  if (bytes > smallAnswerBytes && guard.unsentBytes > guard.limits.unsentBytes * maxOverrun) closeAtLimit(connection, 'unsentAnswers')
  return {
    [Symbol.dispose]: () => {
      connection.reservedBytes -= bytes
      if (!socket.destroyed) setUnsent(connection, connection.unsentBytes - bytes)
    }
  }
}
