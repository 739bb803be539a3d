/** A caller of a soak: looks up entry VMs, sends requests over connections that it keeps, and notes how each ended. */
import type { Socket } from 'node:net'
import { Pool, buildConnector } from 'undici'
import type { Random } from '@lynxcourse/base'
import type { FleetLookup } from '@lynxcourse/daemon'
import { sleep } from '../support/processes.js'
import { callAny } from './controlClient.js'
import type { ControlClient } from './controlClient.js'
import type { FaultProxy } from './faultProxy.js'
import { longPath, probePath } from './ledger.js'
import type { Attempt, AttemptEnd, Ledger } from './ledger.js'
import { answerText } from './stubServer.js'
import { hasUnread } from './unread.js'

/** How long a caller waits for an answer: longer than the routes' timeout, so that it sees whether that one is kept. */
const deadlineMs = 3000
const betweenMs = 90
/** An idempotent request that its VM has not read by then is given up. */
const unreadMs = 1000
/** Shares of reads that are long, and of requests whose callers leave before the answer. */
const longShare = 0.08
const leavingShare = { long: 0.75, impatient: 0.5, short: 0.06 }
const soonestLeavingMs = 20
const latestLeavingMs = 320
/** An entry VM that failed is not used again for this long while there are others. */
const avoidMs = 1500

/** Where a look-up's addresses are reached, and which VM each belongs to. */
export interface EntryPlace { readonly vm: string, readonly proxy: FaultProxy }

export interface Caller {
  readonly name: string
  readonly region: string
  readonly client: ControlClient
  readonly places: ReadonlyMap<string, EntryPlace>
  readonly ledger: Ledger
  readonly random: Random
  /** Keeps to one entry VM until its connection fails, whatever look-ups say. */
  readonly isFaithful: boolean
  /** Leaves before the answer more often. */
  readonly isImpatient: boolean
  readonly pools: Map<string, Pool>
  readonly sockets: Set<Socket>
  readonly avoided: Map<string, number>
  known: readonly string[]
  knownUntil: number
  current: string | undefined
  sent: number
}

/** Sends requests one after the other until the soak is over. */
export async function keepCalling (caller: Caller, isOver: () => boolean): Promise<void> {
  while (!isOver()) {
    const address = await chooseEntry(caller)
    if (address !== undefined) await callOnce(caller, address)
    await sleep(betweenMs * (0.5 + caller.random()))
  }
  await Promise.all([...caller.pools.values()].map(async pool => await pool.destroy()))
}

async function chooseEntry (caller: Caller): Promise<string | undefined> {
  const now = performance.now()
  const isAvoided = (address: string): boolean => (caller.avoided.get(address) ?? 0) > now
  if (caller.isFaithful && caller.current !== undefined && !isAvoided(caller.current)) return caller.current
  if (now > caller.knownUntil) await lookUp(caller, now)
  const open = caller.known.filter(address => !isAvoided(address))
  const from = open.length > 0 ? open : caller.known
  caller.current = from[Math.floor(caller.random() * from.length)]
  return caller.current
}

async function lookUp (caller: Caller, now: number): Promise<void> {
  const found = await callAny<FleetLookup>(caller.client, 'fleet.lookup', { region: caller.region }).catch(() => undefined)
  if (found === undefined || found.addresses.length === 0) return
  caller.known = found.addresses
  caller.knownUntil = now + found.ttlMs
}

async function callOnce (caller: Caller, address: string): Promise<void> {
  const place = caller.places.get(address)
  if (place === undefined) throw new Error(`look-up named ${address}, which is no entry VM`)
  caller.sent += 1
  const path = drawPath(caller.random)
  const attempt: Attempt = { id: `${caller.name}-${caller.sent}`, entry: place.vm, path, isIdempotent: path !== '/offer/', leavesAfterMs: drawLeaving(caller, path), sentAt: performance.now(), endedAt: undefined, end: undefined }
  caller.ledger.attempts.set(attempt.id, attempt)
  const end = await send(caller, place.proxy, attempt)
  attempt.endedAt = performance.now()
  attempt.end = end
  const isStaying = end.type === 'left' && (end.why === 'early' || caller.isFaithful)
  if (end.type !== 'answer' && !isStaying) caller.avoided.set(address, attempt.endedAt + avoidMs)
}

function drawPath (random: Random): string {
  const draw = random()
  if (draw < 0.45) return draw < 0.45 * longShare ? longPath : '/read/'
  return draw < 0.8 ? '/offer/' : probePath
}

function drawLeaving ({ random, isImpatient }: Caller, path: string): number | undefined {
  const share = path === longPath ? leavingShare.long : isImpatient ? leavingShare.impatient : leavingShare.short
  const isLeaving = random() < share
  const afterMs = soonestLeavingMs + random() * (latestLeavingMs - soonestLeavingMs)
  return isLeaving ? afterMs : undefined
}

async function send (caller: Caller, proxy: FaultProxy, attempt: Attempt): Promise<AttemptEnd> {
  const leaving = new AbortController()
  let ownEnd: AttemptEnd = { type: 'timeout' }
  const leave = (end: AttemptEnd): void => {
    ownEnd = end
    leaving.abort()
  }
  const timers = [setTimeout(leave, deadlineMs, ownEnd)]
  if (attempt.leavesAfterMs !== undefined) timers.push(setTimeout(leave, attempt.leavesAfterMs, { type: 'left', why: 'early' }))
  if (attempt.isIdempotent) timers.push(setTimeout(() => { if (hasUnread(proxy, caller.sockets, performance.now())) leave({ type: 'left', why: 'unread' }) }, unreadMs))
  try {
    const res = await poolOf(caller, proxy.address).request({
      method: attempt.isIdempotent ? 'GET' : 'POST',
      path: attempt.path,
      headers: { host: 'soak.example', 'idempotency-key': attempt.id, 'lynx-deadline-ms': String(deadlineMs) },
      body: attempt.isIdempotent ? null : attempt.id,
      signal: leaving.signal
    })
    const text = await res.body.text()
    const isWhole = text === answerText(String(res.headers['lynx-server'] ?? ''), attempt.id)
    return { type: 'answer', status: res.statusCode, isWhole }
  } catch (err) {
    if (leaving.signal.aborted) return ownEnd
    return { type: 'closed', detail: String((err as NodeJS.ErrnoException).code ?? err) }
  } finally {
    for (const timer of timers) clearTimeout(timer)
  }
}

function poolOf (caller: Caller, reachedAt: string): Pool {
  const known = caller.pools.get(reachedAt)
  if (known !== undefined) return known
  const pool = new Pool(`http://${reachedAt}`, { connections: 2, pipelining: 1, connect: connectorOf(caller), headersTimeout: 0, bodyTimeout: 0 })
  caller.pools.set(reachedAt, pool)
  return pool
}

/** Connects as a pool does by itself, and notes the connections that are open. */
function connectorOf (caller: Caller): buildConnector.connector {
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
