/** The connections from callers, and the reasons for which they are closed. */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
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
  /** Closed with a part of an answer unsent. */
  readonly unsent: number
  readonly left: ConnectionCounts
}

/** Follows a connection until it closes, and counts the reason. */
export function trackConnection (gateway: Gateway, socket: Socket): void {
  gateway.connections.add(socket)
  socket.once('close', hadError => {
    gateway.connections.delete(socket)
    gateway.node.metrics.callerCloses.inc({ reason: getCloseReason(gateway, socket, hadError) })
  })
}

function getCloseReason ({ pipelines }: Gateway, socket: Socket, hadError: boolean): CloseReason {
  const pipeline = pipelines.get(socket)
  if (pipeline?.closeReason !== undefined) return pipeline.closeReason
  if (pipeline?.isClosing === true) return pipeline.discardedRequests > 0 ? 'announcedLater' : 'announced'
  return hadError || socket.readableEnded ? 'caller' : 'timeout'
}

/** Closes the listener and the connections that Node takes for idle. */
export function closeIdleConnections (gateway: Gateway, server: Server): StopClosure {
  const before = [...gateway.connections].filter(socket => !socket.destroyed)
  const unsentBefore = new Set(before.filter(socket => socket.writableLength > 0))
  server.close()
  server.closeIdleConnections()
  const closed = before.filter(socket => socket.destroyed)
  const unsent = closed.filter(socket => unsentBefore.has(socket))
  for (const socket of closed) markClose(gateway, socket, unsentBefore.has(socket) ? 'unsent' : 'idle')
  return { idle: closed.length - unsent.length, unsent: unsent.length, left: countConnections(gateway) }
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
