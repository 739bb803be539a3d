/** The connections from callers, and the reasons for which they are closed. */
import type { Server } from 'node:http'
import { Server as NetServer } from 'node:net'
import type { Socket } from 'node:net'
import { hasHeldInput } from '../../utils/connections/guardedConnection.js'
import { closeLingering } from '../../utils/lingeringClose.js'
import type { CloseReason } from './closeReason.js'
import type { Gateway } from './gateway.js'

/** Open connections by kind. */
export interface ConnectionCounts {
  /** With open requests. */
  readonly inUse: number
  /** Without a request since they were accepted. */
  readonly unused: number
  /** Between two requests, or with a part of a head read. */
  readonly between: number
}

/** Connections that a stop closed, and those that it left open. */
export interface StopClosure {
  readonly idle: number
  readonly left: ConnectionCounts
}

/** Follows a connection until it closes, and counts the reason. */
export function trackConnection (gateway: Gateway, socket: Socket): void {
  gateway.connections.add(socket)
  socket.once('close', hadError => countClose(gateway, socket, getCloseReason(gateway, socket, hadError)))
}

function countClose ({ connections, node }: Gateway, socket: Socket, reason: CloseReason): void {
  if (connections.delete(socket)) node.metrics.callerCloses.inc({ reason })
}

function getCloseReason ({ pipelines }: Gateway, socket: Socket, hadError: boolean): CloseReason {
  const pipeline = pipelines.get(socket)
  if (pipeline?.closeReason !== undefined) return pipeline.closeReason
  if (pipeline?.isClosing === true) return pipeline.discardedRequests > 0 ? 'announcedLater' : 'announced'
  return hadError || socket.readableEnded ? 'caller' : 'timeout'
}

/** Closes the listener and the idle connections. */
export function closeIdleConnections (gateway: Gateway, server: Server): StopClosure {
  // The HTTP server's own method also destroys connections whose answer is not sent completely.
  if (server.listening) NetServer.prototype.close.call(server)
  const idle = [...gateway.connections].filter(socket => isIdle(gateway, socket))
  for (const socket of idle) closeIdle(gateway, socket)
  return { idle: idle.length, left: countConnections(gateway) }
}

/**
 * Half-closes an idle connection until the process ends. A request that crosses the close stays unread, so that its caller may send it
 * again; a close at once would let that request reset the connection, with the part of the last answer that the caller hasn't received.
 */
function closeIdle (gateway: Gateway, socket: Socket): void {
  socket.pause()
  socket.end()
  countClose(gateway, socket, 'idle')
}

/** Half-closes the connections whose answers were written without an announced close, so that the end of the process doesn't cut them. */
export function closeAnsweredConnections (gateway: Gateway): void {
  for (const socket of gateway.connections) {
    if (gateway.pipelines.get(socket)?.requests.length === 0) closeLingering(gateway.lingering, socket)
  }
}

/** Whether a connection had a request, all its answers are sent, and no part of another request was read. */
function isIdle ({ pipelines, lingering }: Gateway, socket: Socket): boolean {
  const pipeline = pipelines.get(socket)
  if (pipeline === undefined || lingering.has(socket)) return false
  return pipeline.requests.length === 0 && socket.writableLength === 0 && socket.bytesRead === pipeline.answeredBytesRead && !hasHeldInput(socket)
}

/** Sets the reason of a close by this VM, unless there is one. */
export function markClose ({ pipelines }: Gateway, socket: Socket, reason: CloseReason): void {
  const pipeline = pipelines.get(socket)
  if (pipeline !== undefined) pipeline.closeReason ??= reason
}

export function countConnections ({ connections, pipelines, loop }: Gateway): ConnectionCounts {
  const counts = { inUse: 0, unused: 0, between: 0 }
  for (const socket of connections) {
    if (socket.destroyed) continue
    const hasRequests = (pipelines.get(socket)?.requests.length ?? 0) > 0
    if (hasRequests) counts.inUse += 1
    else if (loop.lastRequests.has(socket)) counts.between += 1
    else counts.unused += 1
  }
  return counts
}
