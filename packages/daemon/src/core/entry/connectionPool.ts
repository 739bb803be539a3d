/** Connections to backend servers, one `undici` client each, judged by their chart. */
import type { Socket } from 'node:net'
import { Client, buildConnector } from 'undici'
import { createIdleConnectionHistory, isLateConnection, getMaxIdleMs, recordResetAfterIdle, recordUnansweredAfterIdle } from '@lynxcourse/placement'
import type { IdleConnectionHistory } from '@lynxcourse/placement'
import { createConnectionState, isReusable, recordProgress, applyConnectionEvent } from '@lynxcourse/routing'
import type { ConnectionCfg, ConnectionState } from '@lynxcourse/routing'
import type { Chart, Millis } from '@lynxcourse/base'
import { getCurrentTime } from '../../utils/clock.js'
import { resetIfUnanswered } from '../../utils/resetIfUnanswered.js'
import { waitForPoll } from '../../utils/pollPhase.js'
import type { PollTracker } from '../../utils/pollPhase.js'

/** One connection. */
export interface Connection {
  readonly client: Client
  readonly state: ConnectionState
  readonly address: string
  /** Whether it has carried a request before. */
  isReused: boolean
  /** How long it rested before the request that it carries now. */
  restedMs: Millis
  /** Whether the peer reset it: `undici` takes a reset for the end of a body that has no length. */
  wasReset: boolean
}

export interface ConnectionPool extends AsyncDisposable {
  readonly cfg: ConnectionCfg
  readonly chart: Chart
  readonly connectTimeoutMs: Millis
  readonly looks: PollTracker
  /** Called when a connection is open, with the time at which it was asked for. */
  onConnect: ((address: string, startedAt: Millis) => void) | undefined
  /** Connections to each server, the one used last at the end. */
  readonly byAddress: Map<string, Connection[]>
  readonly rests: IdleConnectionHistory
}

/** A connection is closed this long before its server would, so that no request crosses the close. */
const closeBeforeServerMs: Millis = 1000

export function createConnectionPool (cfg: ConnectionCfg, chart: Chart, connectTimeoutMs: Millis, looks: PollTracker): ConnectionPool {
  const pool: ConnectionPool = {
    cfg,
    chart,
    connectTimeoutMs,
    looks,
    onConnect: undefined,
    byAddress: new Map(),
    rests: createIdleConnectionHistory(),
    [Symbol.asyncDispose]: async () => {
      const all = [...pool.byAddress.values()].flat()
      await Promise.all(all.map(async connection => await connection.client.destroy()))
    }
  }
  return pool
}

/**
 * Takes a connection that may carry a request, or opens one; give it back with `releaseConnection`.
 *
 * @param mustNotRepeat only a connection that showed life just now will do, or a new one
 */
export function acquireConnection (pool: ConnectionPool, address: string, mustNotRepeat: boolean, now: Millis): Connection {
  const held = pool.byAddress.get(address) ?? []
  for (let place = held.length - 1; place >= 0; place--) {
    const connection = held[place] as Connection
    if (!isReusable(pool.cfg, connection.state, mustNotRepeat, now)) continue
    const restedMs = now - connection.state.progressAt
    if (mustNotRepeat && restedMs > getMaxIdleMs(pool.rests, now)) continue
    connection.restedMs = restedMs
    applyConnectionEvent(pool.chart, connection.state, 'take')
    connection.isReused = true
    return connection
  }
  const connection = openConnection(pool, address, now)
  pool.byAddress.set(address, [...held, connection])
  return connection
}

function openConnection (pool: ConnectionPool, address: string, now: Millis): Connection {
  const startedAt = now
  const client = new Client(`http://${address}`, {
    pipelining: 1,
    connect: watchedConnector(pool, () => connection, startedAt),
    headersTimeout: 0,
    bodyTimeout: 0,
    // Idle connections are closed by this pool's own judgement, never under its hands.
    keepAliveTimeout: 600_000,
    keepAliveMaxTimeout: 600_000,
    keepAliveTimeoutThreshold: closeBeforeServerMs
  })
  client.on('connectionError', () => undefined)
  const state = createConnectionState(pool.chart, now)
  applyConnectionEvent(pool.chart, state, 'take')
  const connection: Connection = { client, state, address, isReused: false, restedMs: 0, wasReset: false }
  return connection
}

type Connector = ReturnType<typeof buildConnector>

/** Opens connections and notes what only the socket tells: how long opening took, and whether it was reset. */
function watchedConnector (pool: ConnectionPool, connection: () => Connection, startedAt: Millis): Connector {
  // The kernel's keep-alive probes begin after a minute, when no connection is left; turning them on takes four system calls of nine.
  const connect = buildConnector({ timeout: pool.connectTimeoutMs, keepAlive: false })
  return (options, callback) => connect(options, (...result) => {
    const [err, socket] = result
    if (err === null) {
      pool.onConnect?.(connection().address, startedAt)
      // Where data and the reset arrive together, the event loop's library reports an ordinary end. The socket
      // itself knows better: one that was reset has no peer any more, one that was closed still has.
      socket.once('end', () => { if (socket.remoteAddress === undefined) connection().wasReset = true })
      resetIfUnanswered(socket)
      socket.on('error', failure => { if ((failure as NodeJS.ErrnoException).code === 'ECONNRESET') connection().wasReset = true })
    }
    if (err !== null || !isLateConnection(startedAt, getCurrentTime())) callback(...result)
    else handOver(pool.looks, socket, callback).catch(failure => callback(failure as Error, null))
  })
}

/** Hands a connection over after a look at all sockets: the caller that it was opened for, or its server, may have closed meanwhile. */
async function handOver (looks: PollTracker, socket: Socket, callback: buildConnector.Callback): Promise<void> {
  await waitForPoll(looks)
  // `undici` opens another connection, again and again, where it is handed one that has ended.
  if (socket.destroyed || socket.readableEnded) callback(endedEarly(socket), null)
  else callback(null, socket)
}

function endedEarly (socket: Socket): Error {
  socket.destroy()
  return Object.assign(new Error('the server closed the connection at once'), { code: 'ECONNRESET', syscall: 'connect' })
}

/** Notes that bytes came. */
export function recordConnectionProgress (pool: ConnectionPool, connection: Connection, now: Millis): void {
  if (connection.state.state === 'busy') recordProgress(pool.chart, connection.state, now)
}

/** Gives a connection back whose answer was read to its end. */
export function releaseConnection (pool: ConnectionPool, connection: Connection, now: Millis): void {
  if (connection.state.state !== 'busy') return
  recordProgress(pool.chart, connection.state, now)
  applyConnectionEvent(pool.chart, connection.state, 'release')
}

/** Closes a connection for good: it failed, went silent, or its answer was not read to the end. */
export function closeConnection (pool: ConnectionPool, connection: Connection, event: 'silent' | 'close' | 'quiet'): void {
  if (connection.state.state === 'closed') return
  applyConnectionEvent(pool.chart, connection.state, event)
  const left = (pool.byAddress.get(connection.address) ?? []).filter(held => held !== connection)
  if (left.length === 0) pool.byAddress.delete(connection.address)
  else pool.byAddress.set(connection.address, left)
  connection.client.destroy().catch(() => undefined)
}

/**
 * Closes a connection that went silent and the idle ones beside it: whatever lost track of one may have
 * lost track of all, and new ones cost a millisecond.
 *
 * @param takenAt when the request that got no answer took it
 */
export function closeSilentConnection (pool: ConnectionPool, connection: Connection, takenAt: Millis, now: Millis): void {
  recordUnansweredAfterIdle(pool.rests, connection.address, connection.restedMs, takenAt, now)
  closeConnection(pool, connection, 'silent')
  for (const other of [...pool.byAddress.get(connection.address) ?? []]) {
    if (other.state.state === 'idle') closeConnection(pool, other, 'close')
  }
}

/** Notes that the server reset a connection before any byte of an answer came over it. */
export function recordUnansweredReset (pool: ConnectionPool, connection: Connection, now: Millis): void {
  if (connection.isReused) recordResetAfterIdle(pool.rests, connection.address, connection.restedMs, now)
}

/** Closes idle connections that were quiet too long. */
export function closeStaleConnections (pool: ConnectionPool, now: Millis): void {
  for (const connection of [...pool.byAddress.values()].flat()) {
    const isQuiet = now - connection.state.progressAt >= pool.cfg.staleMs
    if (connection.state.state === 'idle' && isQuiet) closeConnection(pool, connection, 'quiet')
  }
}

/** Whether an error is from opening a connection: no byte of the request was handed to it, so the request did not run. */
export function isConnectError (err: unknown): boolean {
  const { code, syscall } = err as NodeJS.ErrnoException
  return code === 'UND_ERR_CONNECT_TIMEOUT' || syscall === 'connect'
}
