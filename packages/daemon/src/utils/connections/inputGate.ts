/**
 * Passes what a client sends to the HTTP parser no faster than its requests are answered.
 *
 * The HTTP server parses all requests of one read at once, thousands of them if they are short, and creates objects for each. Here the
 * parser gets one request at a time, as long as few are open on the connection and its client reads the answers. The rest is held as
 * bytes. If much is held, the connection is not read from, so the client's sends block; until then a close by the client is noticed.
 */
import type { Socket } from 'node:net'
import { connectionBounds } from '@lynxcourse/limits'
import { closeAtLimit, getGuardedConnection } from './guardedConnection.js'
import type { ConnectionGuard, GuardedConnection } from './guardedConnection.js'
import { measureQueuedOutput } from './unsentAnswers.js'

const noBytes = Buffer.alloc(0)
/** Connections whose held input is parsed in one iteration of the event loop. */
const connectionsPerTurn = 8
/** Cost of the pieces of one connection that are parsed when they are read; one piece costs 1. */
const costPerRead = 16
/** Cost of the pieces of one connection that are parsed in its turn. */
const costPerTurn = 4
/** Largest piece of a chunked body, which may consist of very many chunks, and its cost. */
const chunkedPieceBytes = 4096
const chunkedPieceCost = 8
/** When input of the process exceeds its limit, connections that hold more than this are closed. */
const smallInputBytes = 4096

/** Whether the rest of a connection's last request is a chunked body. */
function isInChunks ({ lastRequest }: GuardedConnection): boolean {
  return lastRequest?.complete === false && lastRequest.headers['transfer-encoding'] !== undefined
}

/**
 * Returns the length of input up to the end of the first blank line, which ends a head or a chunked body. A piece completes at most
 * one request more than the one that it begins in.
 */
function getPieceLength (input: Buffer): number {
  const crlf = input.indexOf('\n\r\n')
  const end = crlf < 0 ? input.length : crlf + 3
  const lf = input.subarray(0, end).indexOf('\n\n')
  return lf < 0 ? end : lf + 2
}

/** Whether the HTTP server has paused a socket for its unread answers; its parser must not get input then. */
function isPausedByServer (socket: Socket): boolean {
  return (socket as Socket & { readonly _paused?: boolean })._paused === true
}

/** Whether the parser may get more of a connection's input. */
function mayParse (connection: GuardedConnection): boolean {
  const { socket, openRequests, lastRequest, listener: { guard } } = connection
  if (socket.destroyed || isPausedByServer(socket) || (socket.isPaused() && !connection.isHalted)) return false
  if (lastRequest?.complete === false) return lastRequest.readableLength < lastRequest.readableHighWaterMark
  if (openRequests === 0) return true
  if (openRequests >= connectionBounds.openRequests || (openRequests > 1 && hasUnreadAnswers(connection))) return false
  return guard.openRequests < guard.limits.openRequests && guard.inputBytes < guard.limits.inputBytes
}

/** Whether so much of a connection's answers is unread that the HTTP server pauses its parser. */
function hasUnreadAnswers (connection: GuardedConnection): boolean {
  const { socket, unsentBytes, reservedBytes } = connection
  return socket.writableNeedDrain || measureQueuedOutput(connection) >= socket.writableHighWaterMark || unsentBytes - reservedBytes >= connectionBounds.unsentBytes
}

/** Takes what was read from a connection. */
export function receiveInput (connection: GuardedConnection, chunk: Buffer): void {
  if (connection.isDiscarding) return
  if (connection.held.length > 0) holdInput(connection, Buffer.concat([connection.held, chunk]))
  else {
    const rest = parseInput(connection, chunk, costPerRead)
    if (rest.length > 0) holdInput(connection, rest)
  }
}

/** Parses pieces until their cost has reached `maxCost`, but at least one; returns what is left. */
function parseInput (connection: GuardedConnection, input: Buffer, maxCost: number): Buffer {
  let rest = input
  let cost = 0
  while (cost < maxCost && rest.length > 0 && mayParse(connection)) {
    const isChunked = isInChunks(connection)
    const length = Math.min(getPieceLength(rest), isChunked ? chunkedPieceBytes : Infinity)
    cost += isChunked ? chunkedPieceCost : 1
    parsePiece(connection, length === rest.length ? rest : rest.subarray(0, length))
    rest = rest.subarray(length)
    if (connection.isDiscarding) return noBytes
  }
  return rest
}

function parsePiece (connection: GuardedConnection, piece: Buffer): void {
  const { listener: { guard }, lastRequest } = connection
  const isInBody = lastRequest?.complete === false
  connection.headBytes += piece.length
  connection.parse(piece)
  // A piece that ends a body or a head holds little of the next head.
  if (isInBody || connection.lastRequest !== lastRequest) connection.headBytes = 0
  if (connection.headBytes > 0) guard.receiving.add(connection)
  else guard.receiving.delete(connection)
  updateInput(connection)
}

function holdInput (connection: GuardedConnection, input: Buffer): void {
  const { socket, listener: { guard } } = connection
  if (socket.destroyed) return
  // A small rest must not keep the memory of the whole read.
  connection.held = input.length * 2 < input.buffer.byteLength ? Buffer.from(input) : input
  updateInput(connection)
  if (connection.held.length > connectionBounds.heldBytes) haltInput(connection)
  if (guard.inputBytes > guard.limits.inputBytes && input.length > smallInputBytes) closeAtLimit(connection, 'input')
  else wakeInput(connection)
}

function haltInput (connection: GuardedConnection): void {
  if (!connection.isHalted) connection.listener.guard.report('heldInput', connection)
  connection.isHalted = true
  connection.socket.pause()
}

/** Keeps a socket from being read that the HTTP server resumed while too much input is held. */
export function handleResume (connection: GuardedConnection): void {
  if (connection.isHalted) connection.socket.pause()
  wakeInput(connection)
}

/** Lets a connection continue in the next turn if it may. */
export function wakeInput (connection: GuardedConnection): void {
  const { guard } = connection.listener
  if (connection.held.length === 0 || !mayParse(connection)) return
  guard.ready.add(connection)
  scheduleTurn(guard)
}

function scheduleTurn (guard: ConnectionGuard): void {
  if (guard.isTurnScheduled) return
  guard.isTurnScheduled = true
  setImmediate(() => takeTurn(guard))
}

/** Parses some of the held input, of all connections in turn. */
function takeTurn (guard: ConnectionGuard): void {
  guard.isTurnScheduled = false
  const connections = [...guard.ready].slice(0, connectionsPerTurn)
  for (const connection of connections) {
    guard.ready.delete(connection)
    if (!connection.socket.destroyed) continueInput(connection)
  }
  if (guard.ready.size > 0) scheduleTurn(guard)
}

function continueInput (connection: GuardedConnection): void {
  const { socket, held } = connection
  connection.held = noBytes
  const rest = parseInput(connection, held, costPerTurn)
  if (connection.isDiscarding || socket.destroyed) return
  connection.held = rest
  updateInput(connection)
  if (connection.isHalted && rest.length <= connectionBounds.heldBytes) {
    connection.isHalted = false
    socket.resume()
  }
  wakeInput(connection)
}

/** Counts what a connection holds of its client's input. */
export function updateInput (connection: GuardedConnection): void {
  const { guard } = connection.listener
  const bytes = connection.held.length + connection.headBytes + connection.openHeadBytes
  guard.inputBytes += bytes - connection.inputBytes
  connection.inputBytes = bytes
  if (guard.inputBytes > guard.limits.inputBytes && connection.headBytes > smallInputBytes) closeUnfinishedHead(guard)
}

/** Closes the connection that has sent a part of a head for longest. */
function closeUnfinishedHead ({ receiving }: ConnectionGuard): void {
  let oldest: GuardedConnection | undefined
  for (const connection of receiving) {
    if (connection.headBytes > smallInputBytes && (oldest === undefined || connection.progressAt < oldest.progressAt)) oldest = connection
  }
  if (oldest !== undefined) closeAtLimit(oldest, 'input')
}

/** Discards what is held of a connection's input, and what still arrives. */
export function discardHeldInput (socket: Socket): void {
  const connection = getGuardedConnection(socket)
  if (connection === undefined) return
  connection.isDiscarding = true
  connection.isHalted = false
  connection.held = noBytes
  connection.headBytes = 0
  connection.listener.guard.ready.delete(connection)
  connection.listener.guard.receiving.delete(connection)
  updateInput(connection)
}
