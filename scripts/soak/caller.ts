/** A simulated caller: looks up entry VMs, sends requests over pooled connections and records how each ended. */
import type { Socket } from 'node:net'
import { Pool, buildConnector } from 'undici'
import type { Random } from '@lynxcourse/base'
import type { FleetLookup } from '@lynxcourse/daemon'
import { sleep } from '../support/processes.js'
import { callAny } from './controlClient.js'
import type { ControlClient } from './controlClient.js'
import type { FaultProxy } from './faultProxy.js'
import { longPath, probePath } from './history.js'
import type { Attempt, AttemptEnd, SoakHistory } from './history.js'
import { createAnswerText } from './fakeServer.js'
import { hasUnreadBytes } from './receiveQueue.js'
import { drawKey } from './teamKeys.js'

/** How long a caller waits for an answer: longer than the routes' timeout, so that a late answer is still recorded. */
const deadlineMs = 3000
const pauseMs = 90
/** Every request names this team; VMs must not pass it on. */
const forgedTeam = 'forged'
/** A caller abandons an idempotent request that its VM has not read within this time. */
const unreadTimeoutMs = 1000
/** Share of reads that take long, and shares of requests whose callers close the connection before the answer. */
const longShare = 0.08
const leaveShare = { long: 0.75, often: 0.5, short: 0.06 }
const minLeaveMs = 20
const maxLeaveMs = 320
/** A caller avoids an entry VM for this long after a failure, if others are available. */
const avoidMs = 1500

/** An entry VM and the proxy through which callers reach it. */
export interface EntryVm { readonly vm: string, readonly proxy: FaultProxy }

export interface Caller {
  readonly name: string
  /** Selects the caller's team. */
  readonly index: number
  /** Returns the newest version of the routes that the operator knows. */
  readonly getVersion: () => number
  readonly region: string
  readonly client: ControlClient
  readonly places: ReadonlyMap<string, EntryVm>
  readonly history: SoakHistory
  readonly random: Random
  /** Whether the caller uses the same entry VM until a connection to it fails, regardless of lookups. */
  readonly isPinned: boolean
  /** The only path that the caller requests; undefined if it draws one for each request. */
  readonly path: string | undefined
  /** Whether the caller often closes the connection before the answer. */
  readonly leavesOften: boolean
  readonly pools: Map<string, Pool>
  readonly sockets: Set<Socket>
  readonly avoidedUntil: Map<string, number>
  knownEntries: readonly string[]
  lookupExpiresAt: number
  current: string | undefined
  sent: number
}

/** Sends requests one after the other until `isOver` returns true. */
export async function sendRequests (caller: Caller, isOver: () => boolean): Promise<void> {
  while (!isOver()) {
    const address = await chooseEntry(caller)
    if (address !== undefined) await sendRequest(caller, address)
    await sleep(pauseMs * (0.5 + caller.random()))
  }
  await Promise.all([...caller.pools.values()].map(async pool => await pool.destroy()))
}

async function chooseEntry (caller: Caller): Promise<string | undefined> {
  const now = performance.now()
  const isAvoided = (address: string): boolean => (caller.avoidedUntil.get(address) ?? 0) > now
  if (caller.isPinned && caller.current !== undefined && !isAvoided(caller.current)) return caller.current
  if (now > caller.lookupExpiresAt) await lookUp(caller, now)
  const usable = caller.knownEntries.filter(address => !isAvoided(address))
  const candidates = usable.length > 0 ? usable : caller.knownEntries
  caller.current = candidates[Math.floor(caller.random() * candidates.length)]
  return caller.current
}

async function lookUp (caller: Caller, now: number): Promise<void> {
  const found = await callAny<FleetLookup>(caller.client, 'fleet.lookup', { region: caller.region }).catch(() => undefined)
  if (found === undefined || found.addresses.length === 0) return
  caller.knownEntries = found.addresses
  caller.lookupExpiresAt = now + found.ttlMs
}

async function sendRequest (caller: Caller, address: string): Promise<void> {
  const entryVm = caller.places.get(address)
  if (entryVm === undefined) throw new Error(`the lookup returned ${address}, which is not the address of an entry VM`)
  caller.sent += 1
  const path = caller.path ?? drawPath(caller.random)
  const attempt: Attempt = { id: `${caller.name}-${caller.sent}`, entry: entryVm.vm, path, isIdempotent: path !== '/offer/', sentKey: drawKey(caller.random, caller.index, caller.getVersion()), leavesAfterMs: caller.path === undefined ? drawLeaveDelay(caller, path) : undefined, sentAt: performance.now(), endedAt: undefined, end: undefined }
  caller.history.attempts.set(attempt.id, attempt)
  const end = await send(caller, entryVm.proxy, attempt)
  attempt.endedAt = performance.now()
  attempt.end = end
  const keepsEntry = end.type === 'left' && (end.why === 'early' || caller.isPinned)
  if (end.type !== 'answer' && !keepsEntry) caller.avoidedUntil.set(address, attempt.endedAt + avoidMs)
}

function drawPath (random: Random): string {
  const draw = random()
  if (draw < 0.45) return draw < 0.45 * longShare ? longPath : '/read/'
  return draw < 0.8 ? '/offer/' : probePath
}

function drawLeaveDelay ({ random, leavesOften }: Caller, path: string): number | undefined {
  const share = path === longPath ? leaveShare.long : leavesOften ? leaveShare.often : leaveShare.short
  const isLeaving = random() < share
  const afterMs = minLeaveMs + random() * (maxLeaveMs - minLeaveMs)
  return isLeaving ? afterMs : undefined
}

async function send (caller: Caller, proxy: FaultProxy, attempt: Attempt): Promise<AttemptEnd> {
  const leaveController = new AbortController()
  let leaveEnd: AttemptEnd = { type: 'timeout' }
  const leave = (end: AttemptEnd): void => {
    leaveEnd = end
    leaveController.abort()
  }
  const timers = [setTimeout(leave, deadlineMs, leaveEnd)]
  if (attempt.leavesAfterMs !== undefined) timers.push(setTimeout(leave, attempt.leavesAfterMs, { type: 'left', why: 'early' }))
  if (attempt.isIdempotent) timers.push(setTimeout(() => { if (hasUnreadBytes(proxy, caller.sockets, performance.now())) leave({ type: 'left', why: 'unread' }) }, unreadTimeoutMs))
  try {
    const res = await getPool(caller, proxy.address).request({
      method: attempt.isIdempotent ? 'GET' : 'POST',
      path: attempt.path,
      headers: { host: 'soak.example', 'idempotency-key': attempt.id, 'lynx-deadline-ms': String(deadlineMs), 'lynx-team': forgedTeam, authorization: `Bearer ${attempt.sentKey.key}` },
      body: attempt.isIdempotent ? null : attempt.id,
      signal: leaveController.signal
    })
    const text = await res.body.text()
    const isWhole = text === createAnswerText(String(res.headers['lynx-server'] ?? ''), attempt.id)
    return { type: 'answer', status: res.statusCode, isWhole }
  } catch (err) {
    if (leaveController.signal.aborted) return leaveEnd
    return { type: 'closed', detail: String((err as NodeJS.ErrnoException).code ?? err) }
  } finally {
    for (const timer of timers) clearTimeout(timer)
  }
}

function getPool (caller: Caller, address: string): Pool {
  const existing = caller.pools.get(address)
  if (existing !== undefined) return existing
  const pool = new Pool(`http://${address}`, { connections: 2, pipelining: 1, connect: createConnector(caller), headersTimeout: 0, bodyTimeout: 0 })
  caller.pools.set(address, pool)
  return pool
}

/** Creates a connector that works like the default one and tracks the caller's open sockets. */
function createConnector (caller: Caller): buildConnector.connector {
  const connect = buildConnector({ timeout: 1000 })
  return (options, callback) => {
    connect(options, (...[err, socket]) => {
      if (err !== null) {
        callback(err, null)
        return
      }
      caller.sockets.add(socket)
      socket.once('close', () => caller.sockets.delete(socket))
      callback(null, socket)
    })
  }
}
