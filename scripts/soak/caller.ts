/** A caller of a soak: looks up entry VMs, sends requests over connections that it keeps, and notes how each ended. */
import { Pool } from 'undici'
import type { Random } from '@lynxcourse/base'
import type { FleetLookup } from '@lynxcourse/daemon'
import { sleep } from '../support/processes.js'
import { callAny } from './controlClient.js'
import type { ControlClient } from './controlClient.js'
import { probePath } from './ledger.js'
import type { Attempt, AttemptEnd, Ledger } from './ledger.js'
import { answerText } from './stubServer.js'

/** How long a caller waits for an answer: longer than the routes' timeout, so that it sees whether that one is kept. */
const deadlineMs = 3000
const betweenMs = 90
/** An entry VM that failed is not used again for this long while there are others. */
const avoidMs = 1500

/** Where a look-up's addresses are reached, and which VM each belongs to. */
export interface EntryPlace { readonly vm: string, readonly reachedAt: string }

export interface Caller {
  readonly name: string
  readonly region: string
  readonly client: ControlClient
  readonly places: ReadonlyMap<string, EntryPlace>
  readonly ledger: Ledger
  readonly random: Random
  /** Keeps to one entry VM until its connection fails, whatever look-ups say. */
  readonly isFaithful: boolean
  readonly pools: Map<string, Pool>
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
  const draw = caller.random()
  const path = draw < 0.45 ? '/read/' : draw < 0.8 ? '/offer/' : probePath
  const attempt: Attempt = { id: `${caller.name}-${caller.sent}`, entry: place.vm, path, isIdempotent: path !== '/offer/', sentAt: performance.now(), endedAt: undefined, end: undefined }
  caller.ledger.attempts.set(attempt.id, attempt)
  const end = await send(caller, place.reachedAt, attempt)
  attempt.endedAt = performance.now()
  attempt.end = end
  if (end.type !== 'answer') caller.avoided.set(address, attempt.endedAt + avoidMs)
}

async function send (caller: Caller, reachedAt: string, attempt: Attempt): Promise<AttemptEnd> {
  const signal = AbortSignal.timeout(deadlineMs)
  try {
    const res = await poolOf(caller, reachedAt).request({
      method: attempt.isIdempotent ? 'GET' : 'POST',
      path: attempt.path,
      headers: { host: 'soak.example', 'idempotency-key': attempt.id, 'lynx-deadline-ms': String(deadlineMs) },
      body: attempt.isIdempotent ? null : attempt.id,
      signal
    })
    const text = await res.body.text()
    const isWhole = text === answerText(String(res.headers['lynx-server'] ?? ''), attempt.id)
    return { type: 'answer', status: res.statusCode, isWhole }
  } catch (err) {
    if (signal.aborted) return { type: 'timeout' }
    return { type: 'closed', detail: String((err as NodeJS.ErrnoException).code ?? err) }
  }
}

function poolOf (caller: Caller, reachedAt: string): Pool {
  const known = caller.pools.get(reachedAt)
  if (known !== undefined) return known
  const pool = new Pool(`http://${reachedAt}`, { connections: 2, pipelining: 1, connect: { timeout: 1000 }, headersTimeout: 0, bodyTimeout: 0 })
  caller.pools.set(reachedAt, pool)
  return pool
}
