/**
 * Closes an HTTP server without losing answers.
 *
 * Node's own `close` destroys connections whose answer is written but not flushed, and keeps those that never had a request. A socket
 * that is destroyed while it has unread bytes is reset, and the reset discards the part of the answer that the peer has not received.
 * Here a connection ends after its last answer with a half-close, and what still arrives is read and discarded until the peer closes.
 */
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'
import { Server as NetServer } from 'node:net'
import type { Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import type { Millis } from '@lynxcourse/base'
import { getCurrentTime } from './clock.js'
import { hasHeldInput } from './connections/guardedConnection.js'
import { closeLingering } from './lingeringClose.js'
import type { LingeringSockets } from './lingeringClose.js'
import { createPollTracker, waitForPoll } from './pollPhase.js'
import type { PollTracker } from './pollPhase.js'

/** Responses to the requests that were read from a connection, in their order, until each of them is sent. */
type OpenResponses = Set<ServerResponse>

/** The connections of a server and the calls in progress on them. */
export interface ConnectionTracker {
  readonly server: Server
  readonly connections: Map<Socket, OpenResponses>
  readonly lingering: LingeringSockets
  readonly polls: PollTracker
  /** Whether answers close their connections. */
  isLeaving: boolean
  /** Called when the last connection has closed. */
  onEmpty: () => void
}

/** Time for which a half-closed connection waits for the peer's close. */
const lingerMs: Millis = 500
/**
 * Time for which connections without a call stay open after the listener has closed, so that a request that the peer sent before it
 * learned of the close is still answered.
 */
const idleGraceMs: Millis = 100

/** Starts tracking the connections of a server, which has accepted none yet. Takes over its listeners for requests. */
export function trackConnections (server: Server): ConnectionTracker {
  const tracker: ConnectionTracker = { server, connections: new Map(), lingering: new Set(), polls: createPollTracker(), isLeaving: false, onEmpty: () => undefined }
  // A check by class would load the module of TLS, which a VM without TLS does not need.
  const isTls = 'setSecureContext' in server
  server.on(isTls ? 'secureConnection' : 'connection', (socket: Socket) => addConnection(tracker, socket))
  const handlers = server.listeners('request') as RequestListener[]
  server.removeAllListeners('request')
  server.on('request', (req: IncomingMessage, res: ServerResponse) => {
    if (!admitCall(tracker, req.socket, res)) return
    for (const handler of handlers) handler.call(server, req, res)
  })
  return tracker
}

/** Returns the number of calls that were read and whose answers are not sent yet. */
export function countOpenCalls ({ connections }: ConnectionTracker): number {
  let count = 0
  for (const open of connections.values()) count += open.size
  return count
}

function addConnection (tracker: ConnectionTracker, socket: Socket): void {
  const { connections } = tracker
  connections.set(socket, new Set())
  tracker.polls.acceptCount += 1
  if (tracker.isLeaving) endAfterLastAnswer(tracker, socket)
  socket.once('close', () => {
    connections.delete(socket)
    if (connections.size === 0) tracker.onEmpty()
  })
}

/** Records a call. Returns false if it can't be answered, because an answer before it closes the connection. */
function admitCall (tracker: ConnectionTracker, socket: Socket, res: ServerResponse): boolean {
  const open = tracker.connections.get(socket)
  if (open === undefined) return true
  const previous = [...open].at(-1)
  if (tracker.isLeaving) {
    if (tracker.lingering.has(socket) || (previous !== undefined && isClosing(previous))) return false
    markLast(socket, res, previous)
  }
  open.add(res)
  res.once('close', () => {
    open.delete(res)
    if (tracker.isLeaving && open.size === 0 && !hasHeldInput(socket)) endConnection(tracker, socket)
  })
  return true
}

/** Whether the response has told the peer that no other follows it. */
function isClosing (res: ServerResponse): boolean {
  return res.headersSent && !res.shouldKeepAlive
}

/** Makes the last response on a connection close it. Answers after one that closes the connection would not be sent. */
function markLast (socket: Socket, res: ServerResponse, previous: ServerResponse | undefined): void {
  if (previous?.headersSent === false) previous.shouldKeepAlive = true
  if (!res.headersSent && !hasHeldInput(socket)) res.shouldKeepAlive = false
}

/** Replaces the way in which Node closes the connection after an answer with `connection: close`. */
function endAfterLastAnswer (tracker: ConnectionTracker, socket: Socket): void {
  socket.destroySoon = () => endConnection(tracker, socket)
}

/** Half-closes a connection and discards what still arrives, until the peer closes or the limit has passed. */
function endConnection ({ lingering }: ConnectionTracker, socket: Socket): void {
  closeLingering(lingering, socket, lingerMs)
}

/**
 * Makes the answers close their connections from now on, including those to calls in progress. The server still accepts connections
 * and serves calls.
 */
export function announceClose (tracker: ConnectionTracker): void {
  if (tracker.isLeaving) return
  tracker.isLeaving = true
  for (const [socket, open] of tracker.connections) {
    endAfterLastAnswer(tracker, socket)
    const last = [...open].at(-1)
    if (last !== undefined) markLast(socket, last, undefined)
  }
}

/**
 * Closes the server: stops accepting, closes connections without a call, and the others after their last answer.
 *
 * @param deadline time at which the remaining connections are destroyed, Unix milliseconds
 * @returns the number of calls whose answers were not sent by the deadline
 */
export async function closeGracefully (tracker: ConnectionTracker, deadline: Millis): Promise<number> {
  const { server, connections, polls } = tracker
  announceClose(tracker)
  // Closing the listener would reset the connections in the accept queue.
  await waitForPoll(polls)
  // The method of the HTTP server would destroy connections, see above.
  if (server.listening) NetServer.prototype.close.call(server)
  if (connections.size > 0) await delay(Math.max(0, Math.min(idleGraceMs, deadline - getCurrentTime())))
  // A timer may run before requests are read that arrived earlier.
  await waitForPoll(polls)
  for (const [socket, open] of connections) {
    if (open.size === 0 && !hasHeldInput(socket)) endConnection(tracker, socket)
  }
  await waitUntilEmpty(tracker, deadline)
  const lostCount = countOpenCalls(tracker)
  for (const socket of connections.keys()) socket.destroy()
  return lostCount
}

/**
 * Closes several servers.
 *
 * @param maxMs time after which the remaining connections are destroyed
 * @returns the number of calls whose answers were not sent by then
 */
export async function closeAllGracefully (trackers: readonly ConnectionTracker[], maxMs: Millis): Promise<number> {
  const deadline = getCurrentTime() + maxMs
  const lostCounts = await Promise.all(trackers.map(async tracker => await closeGracefully(tracker, deadline)))
  return lostCounts.reduce((sum, count) => sum + count, 0)
}

async function waitUntilEmpty (tracker: ConnectionTracker, deadline: Millis): Promise<void> {
  if (tracker.connections.size === 0) return
  await new Promise<void>(resolve => {
    const timer = setTimeout(resolve, Math.max(0, deadline - getCurrentTime()))
    tracker.onEmpty = () => {
      clearTimeout(timer)
      resolve()
    }
  })
}
