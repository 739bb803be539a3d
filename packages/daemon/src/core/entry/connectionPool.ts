/** Pools connections to backend servers, one `undici` client each, and tracks their states by the `connection` chart. */
import type { Socket } from 'node:net'
import { Client, buildConnector } from 'undici'
import { createIdleConnectionHistory, isLateConnection, recordResetAfterIdle, recordUnansweredAfterIdle } from '@lynxcourse/placement'
import type { IdleConnectionHistory } from '@lynxcourse/placement'
import { createConnectionState, isReusable, recordProgress, applyConnectionEvent } from '@lynxcourse/routing'
import type { ConnectionCfg, ConnectionState } from '@lynxcourse/routing'
import type { Chart, Millis } from '@lynxcourse/base'
import { getCurrentTime } from '../../utils/clock.js'
import { resetIfUnanswered } from '../../utils/resetIfUnanswered.js'
import { waitForPoll } from '../../utils/pollPhase.js'
import type { PollTracker } from '../../utils/pollPhase.js'

/** A pooled connection. */
export interface Connection {
  readonly client: Client
  readonly state: ConnectionState
  readonly address: string
  /** Number of requests before the present one. */
  earlierRequests: number
  /** How long the connection was idle before the present request. */
  restedMs: Millis
  /** Whether the peer reset the connection: `undici` takes a reset for the end of a body without a length. */
  wasReset: boolean
  /** Called when the connection is open and its request is about to be written. */
  onOpen: (() => void) | undefined
  /** The socket, once the connection is open. */
  socket: Socket | undefined
  /** Called when bytes have arrived, before they are parsed. */
  onReadable: (() => void) | undefined
  /** Called when the connection ends or fails, before the HTTP client handles it. */
  onEnd: ((err?: NodeJS.ErrnoException) => void) | undefined
}

/**
 * Connections to backend servers. Disposing the pool closes all of them. More than `maxConnections` are open only if connections are
 * acquired while `hasRoom` is false.
 */
export interface ConnectionPool extends AsyncDisposable {
  readonly cfg: ConnectionCfg
  readonly chart: Chart
  readonly connectTimeoutMs: Millis
  readonly maxConnections: number
  /** Poll phases of the event loop that reads the sockets. */
  readonly polls: PollTracker
  /** Called when a connection is open, with the time at which it was requested. */
  onConnect: ((address: string, requestedAt: Millis, socket: Socket) => void) | undefined
  /** Called when a server sent bytes over an idle connection, which was closed then. */
  onUnsolicited: ((address: string) => void) | undefined
  /** Connections by server address, in the order in which they were opened. */
  readonly byAddress: Map<string, Connection[]>
  /** Number of connections in `byAddress`. */
  count: number
  /** Resets and missing answers on reused connections; they limit the idle time for requests that must not repeat. */
  readonly idleHistory: IdleConnectionHistory
}

/**
 * A connection is closed this long before the idle timeout that its server announces, so that no request crosses the
 * close.
 */
const closeBeforeServerMs: Millis = 1000

/** The error of the HTTP client for bytes that arrive while no request is in flight. */
const unsolicitedMessage = 'bad response'

export function createConnectionPool (cfg: ConnectionCfg, chart: Chart, connectTimeoutMs: Millis, polls: PollTracker, maxConnections = Infinity): ConnectionPool {
  const pool: ConnectionPool = {
    cfg,
    chart,
    connectTimeoutMs,
    maxConnections,
    polls,
    onConnect: undefined,
    onUnsolicited: undefined,
    byAddress: new Map(),
    count: 0,
    idleHistory: createIdleConnectionHistory(),
    [Symbol.asyncDispose]: async () => {
      const connections = [...pool.byAddress.values()].flat()
      await Promise.all(connections.map(async connection => await connection.client.destroy()))
    }
  }
  return pool
}

/** Whether the pool can open a connection, for which it may have to close an idle one. */
export function hasRoom (pool: ConnectionPool): boolean {
  return pool.count < pool.maxConnections || findLongestIdle(pool) !== undefined
}

function findLongestIdle ({ byAddress }: ConnectionPool): Connection | undefined {
  let longest: Connection | undefined
  for (const connections of byAddress.values()) {
    for (const connection of connections) {
      if (connection.state.state === 'idle' && connection.state.progressAt < (longest?.state.progressAt ?? Infinity)) longest = connection
    }
  }
  return longest
}

/**
 * Returns a connection that may carry a request, opening one if necessary. Pass it to `releaseConnection` or
 * `closeConnection` afterwards.
 *
 * @param mustNotRepeat whether the request must not run twice: then it gets a new connection, on which no answer can be a late one to
 * another request, so that a rejection shows that the request has not run
 * @param maxIdleMs a connection that has been idle for longer is not used
 */
export function acquireConnection (pool: ConnectionPool, address: string, mustNotRepeat: boolean, now: Millis, maxIdleMs: Millis = Infinity): Connection {
  const connections = pool.byAddress.get(address) ?? []
  if (mustNotRepeat) return addConnection(pool, address, now)
  for (let index = connections.length - 1; index >= 0; index--) {
    const connection = connections[index] as Connection
    if (!isReusable(pool.cfg, connection.state, false, now)) continue
    const idleMs = now - connection.state.progressAt
    if (idleMs > maxIdleMs) continue
    connection.restedMs = idleMs
    applyConnectionEvent(pool.chart, connection.state, 'take')
    connection.earlierRequests += 1
    return connection
  }
  return addConnection(pool, address, now)
}

/** Opens a connection. If the pool is full, the one that is idle for longest is closed. */
function addConnection (pool: ConnectionPool, address: string, now: Millis): Connection {
  const replaced = pool.count < pool.maxConnections ? undefined : findLongestIdle(pool)
  if (replaced !== undefined) closeConnection(pool, replaced, 'close')
  const connection = openConnection(pool, address, now)
  pool.byAddress.set(address, [...pool.byAddress.get(address) ?? [], connection])
  pool.count += 1
  return connection
}

function openConnection (pool: ConnectionPool, address: string, now: Millis): Connection {
  const requestedAt = now
  const client = new Client(`http://${address}`, {
    pipelining: 1,
    connect: createConnector(pool, () => connection, requestedAt),
    headersTimeout: 0,
    bodyTimeout: 0,
    // The pool itself closes idle connections; `undici` must not close one that the pool considers usable.
    keepAliveTimeout: 600_000,
    keepAliveMaxTimeout: 600_000,
    keepAliveTimeoutThreshold: closeBeforeServerMs
  })
  client.on('connectionError', () => undefined)
  client.on('disconnect', (_origin, _targets, err) => {
    if (connection.state.state === 'idle' && err.message === unsolicitedMessage) pool.onUnsolicited?.(address)
  })
  const state = createConnectionState(pool.chart, now)
  applyConnectionEvent(pool.chart, state, 'take')
  const connection: Connection = { client, state, address, earlierRequests: 0, restedMs: 0, wasReset: false, onOpen: undefined, socket: undefined, onReadable: undefined, onEnd: undefined }
  return connection
}

type Connector = ReturnType<typeof buildConnector>

/**
 * Creates a connector that records what only the socket shows: how long opening took, and whether the peer reset the
 * connection.
 */
function createConnector (pool: ConnectionPool, getConnection: () => Connection, requestedAt: Millis): Connector {
  // Keep-alive probes of the kernel would start after a minute, when every idle connection has been closed; enabling them
  // takes four of the nine system calls of opening a connection.
  const connect = buildConnector({ timeout: pool.connectTimeoutMs, keepAlive: false })
  return (options, callback) => connect(options, (...result) => {
    const [err, socket] = result
    const handOver: typeof callback = (...opened) => {
      if (opened[0] === null) getConnection().onOpen?.()
      callback(...opened)
    }
    if (err === null) {
      pool.onConnect?.(getConnection().address, requestedAt, socket)
      getConnection().socket = socket
      socket.on('readable', () => getConnection().onReadable?.())
      socket.once('end', () => getConnection().onEnd?.())
      // If data and a reset arrive together, libuv reports an ordinary end. The socket still shows the difference: it has
      // a remote address after a close, and none after a reset.
      socket.once('end', () => { if (socket.remoteAddress === undefined) getConnection().wasReset = true })
      resetIfUnanswered(socket)
      socket.on('error', (error: NodeJS.ErrnoException) => {
        if (error.code === 'ECONNRESET') getConnection().wasReset = true
        getConnection().onEnd?.(error)
      })
    }
    if (err !== null || !isLateConnection(requestedAt, getCurrentTime())) handOver(...result)
    else handOverAfterPoll(pool.polls, socket, handOver).catch(error => callback(error as Error, null))
  })
}

/**
 * Hands a connection over after all sockets have been polled: the caller that it was opened for, or the server, may
 * have closed meanwhile.
 */
async function handOverAfterPoll (polls: PollTracker, socket: Socket, callback: buildConnector.Callback): Promise<void> {
  await waitForPoll(polls)
  // If `undici` is handed a connection that has ended, it opens another one, again and again.
  if (socket.destroyed || socket.readableEnded) callback(abortEndedConnection(socket), null)
  else callback(null, socket)
}

/** Destroys a connection that its server closed before it carried a request, and returns the error to report. */
function abortEndedConnection (socket: Socket): Error {
  socket.destroy()
  return Object.assign(new Error('the server closed the connection before it was used'), { code: 'ECONNRESET', syscall: 'connect' })
}

/** Whether a connection carried a request before the present one. */
export function isReused ({ earlierRequests }: Connection): boolean {
  return earlierRequests > 0
}

/** Records that bytes arrived on a connection. */
export function recordConnectionProgress (pool: ConnectionPool, connection: Connection, now: Millis): void {
  if (connection.state.state === 'busy') recordProgress(pool.chart, connection.state, now)
}

/** Returns a connection to the pool after the answer was read completely. */
export function releaseConnection (pool: ConnectionPool, connection: Connection, now: Millis): void {
  forgetRequest(connection)
  if (connection.state.state !== 'busy') return
  recordProgress(pool.chart, connection.state, now)
  applyConnectionEvent(pool.chart, connection.state, 'release')
}

/** Removes the callbacks of a request, which keep its body and its answer in memory. */
function forgetRequest (connection: Connection): void {
  connection.onOpen = undefined
  connection.onReadable = undefined
  connection.onEnd = undefined
}

/** Closes a connection and removes it from the pool: it failed, went silent, or its answer was not read completely. */
export function closeConnection (pool: ConnectionPool, connection: Connection, event: 'silent' | 'close' | 'quiet'): void {
  forgetRequest(connection)
  if (connection.state.state === 'closed') return
  applyConnectionEvent(pool.chart, connection.state, event)
  pool.count -= 1
  const remaining = (pool.byAddress.get(connection.address) ?? []).filter(other => other !== connection)
  if (remaining.length === 0) pool.byAddress.delete(connection.address)
  else pool.byAddress.set(connection.address, remaining)
  connection.client.destroy().catch(() => undefined)
}

/**
 * Closes a connection that went silent and the idle connections to the same address: a middlebox that lost track of one
 * may have lost track of all, and opening a new one takes about a millisecond.
 *
 * @param takenAt when the request without an answer took the connection from the pool
 */
export function closeSilentConnection (pool: ConnectionPool, connection: Connection, takenAt: Millis, now: Millis): void {
  recordUnansweredAfterIdle(pool.idleHistory, connection.address, connection.restedMs, takenAt, now)
  closeConnection(pool, connection, 'silent')
  for (const other of [...pool.byAddress.get(connection.address) ?? []]) {
    if (other.state.state === 'idle') closeConnection(pool, other, 'close')
  }
}

/** Records that the server reset a connection before any byte of an answer arrived. */
export function recordUnansweredReset (pool: ConnectionPool, connection: Connection, now: Millis): void {
  if (isReused(connection)) recordResetAfterIdle(pool.idleHistory, connection.address, connection.restedMs, now)
}

/** Closes connections that have been idle for too long. */
export function closeStaleConnections (pool: ConnectionPool, now: Millis): void {
  for (const connection of [...pool.byAddress.values()].flat()) {
    const isStale = now - connection.state.progressAt >= pool.cfg.staleMs
    if (connection.state.state === 'idle' && isStale) closeConnection(pool, connection, 'quiet')
  }
}

/**
 * Returns whether an error occurred while opening a connection: no byte of the request was written, so the request did
 * not run.
 */
export function isConnectError (err: unknown): boolean {
  const { code, syscall } = err as NodeJS.ErrnoException
  return code === 'UND_ERR_CONNECT_TIMEOUT' || syscall === 'connect'
}
