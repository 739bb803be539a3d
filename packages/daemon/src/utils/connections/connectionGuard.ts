/**
 * Bounds what clients make a process hold, over all of its listeners. Clients that the listeners don't control may send requests without
 * reading answers, send heads that never end, or open connections without a request.
 */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import type { Millis } from '@lynxcourse/base'
import { deriveListenerConnections, listClosable } from '@lynxcourse/limits'
import type { ConnectionLimits } from '@lynxcourse/limits'
import { getCurrentTime } from '../clock.js'
import { closeAtLimit, setGuardedConnection } from './guardedConnection.js'
import type { ConnectionGuard, GuardedConnection, GuardedListener, ReportLimit } from './guardedConnection.js'
import { handleResume, receiveInput, updateInput, wakeInput } from './inputGate.js'
import { checkReaders, setUnsent, updateUnsent } from './unsentAnswers.js'

const checkReadersMs: Millis = 250

/** Fractions of the process's sockets that each listener may use; the rest is for connections to other processes. */
export const listenerFractions = { callers: 0.5, control: 0.3, directory: 0.25, rpc: 0.15, readiness: 0.02, metrics: 0.02 } as const

export type ListenerName = keyof typeof listenerFractions

/** Creates the guard of a process. Disposal stops its checks. */
export function createConnectionGuard (limits: ConnectionLimits, report: ReportLimit): ConnectionGuard {
  const timer = setInterval(() => checkReaders(guard, getCurrentTime()), checkReadersMs)
  timer.unref()
  const guard: ConnectionGuard = {
    limits,
    report,
    ready: new Set(),
    sending: new Set(),
    receiving: new Set(),
    openRequests: 0,
    inputBytes: 0,
    unsentBytes: 0,
    closingBytes: 0,
    isTurnScheduled: false,
    [Symbol.asyncDispose]: async () => clearInterval(timer)
  }
  return guard
}

/**
 * Guards a server, which has accepted no connection yet. It has to be created with the option `ServerResponse: GuardedResponse`.
 *
 * @param maxConnections by default the listener's part of the process's sockets
 */
export function guardServer (guard: ConnectionGuard, server: Server, name: ListenerName, maxConnections = deriveListenerConnections(guard.limits, listenerFractions[name])): void {
  const listener: GuardedListener = { guard, name, maxConnections, connections: new Set(), closable: [] }
  // A check by class would load the module of TLS, which a VM without TLS does not need.
  const isTls = 'setSecureContext' in server
  server.on(isTls ? 'secureConnection' : 'connection', (socket: Socket) => openConnection(listener, socket, getCurrentTime()))
}

function openConnection (listener: GuardedListener, socket: Socket, now: Millis): void {
  const [parse] = socket.listeners('data')
  if (parse === undefined) return
  const connection: GuardedConnection = {
    listener,
    socket,
    parse: bytes => { parse.call(socket, bytes) },
    responses: new Map(),
    hadRequest: false,
    get openRequests () { return this.responses.size },
    get isReceiving () { return this.lastRequest?.complete === false },
    progressAt: now,
    unsentBytes: 0,
    closingBytes: 0,
    reservedBytes: 0,
    lastRequest: undefined,
    held: Buffer.alloc(0),
    headBytes: 0,
    openHeadBytes: 0,
    inputBytes: 0,
    isHalted: false,
    isDiscarding: false,
    onClosing: () => undefined,
    queuedBytes: 0
  }
  setGuardedConnection(connection)
  listener.connections.add(connection)
  socket.removeAllListeners('data')
  socket.on('data', (chunk: Buffer) => receiveInput(connection, chunk))
  socket.on('resume', () => handleResume(connection))
  socket.on('drain', () => {
    updateUnsent(connection, getCurrentTime())
    wakeInput(connection)
  })
  socket.once('close', () => forgetConnection(connection))
  if (listener.connections.size > listener.maxConnections) closeOne(listener, now)
}

function forgetConnection (connection: GuardedConnection): void {
  const { listener, responses } = connection
  const { guard } = listener
  listener.connections.delete(connection)
  guard.ready.delete(connection)
  guard.receiving.delete(connection)
  guard.openRequests -= responses.size
  responses.clear()
  connection.held = Buffer.alloc(0)
  connection.headBytes = 0
  connection.openHeadBytes = 0
  updateInput(connection)
  setUnsent(connection, 0)
  guard.closingBytes -= connection.closingBytes
  connection.closingBytes = 0
}

/** Makes room for a connection: closes one that is not at work, which may be the new one. */
function closeOne (listener: GuardedListener, now: Millis): void {
  closeAtLimit(takeClosable(listener) ?? chooseClosable(listener, now), 'connections')
}

function takeClosable ({ closable }: GuardedListener): GuardedConnection | undefined {
  for (let choice = closable.pop(); choice !== undefined; choice = closable.pop()) {
    const { connection, progressAt } = choice
    if (!connection.socket.destroyed && connection.progressAt === progressAt) return connection
  }
  return undefined
}

function chooseClosable (listener: GuardedListener, now: Millis): GuardedConnection {
  // The new connection has no request, so that there is at least one.
  const [first, ...others] = listClosable([...listener.connections].filter(({ socket }) => !socket.destroyed), now) as [GuardedConnection]
  listener.closable = (others as GuardedConnection[]).reverse().map(connection => ({ connection, progressAt: connection.progressAt }))
  return first
}
