/**
 * Recognizes requests that end the backend servers that run them.
 *
 * An entry VM sees the end of one server under one attempt. It then tries another server, or its caller comes again, with
 * another id and at another VM, and the next server ends. All VMs therefore report such ends, and this register connects
 * them. When a request explains the ends of several servers, it becomes suspected and runs as a single trial: servers also end
 * for other reasons, and take requests with them that are harmless. An answer releases the request, and clears the ends that
 * were counted before. If the server of the trial ends too, the request is blocked.
 */
import { hasTransition, nextState } from '@lynxcourse/base'
import type { Chart, Millis, RequestFingerprint, ServerId } from '@lynxcourse/base'
import type { ChangeAnswer } from '../types/commands.js'
import type { CrashCommand, CrashingRequestItem, ServerEnd } from '../types/crashes.js'
import { dropOldest } from '../utils/dropOldest.js'
import { findItem, listItems, setItem } from './config.js'
import type { Config } from './config.js'

/** Number of ended servers that a request has to explain before it becomes suspected. */
export const minSuspectEnds = 3
/** How long the end of a server counts against the requests that it left unanswered. */
export const endMemoryMs: Millis = 600_000
/** How long a request is blocked after its first failed trial; doubles with each further one, up to a day. */
export const firstBlockMs: Millis = 600_000
export const maxBlockMs: Millis = 86_400_000
/** Maximum number of requests whose ended servers are counted; the least recent are forgotten. */
export const maxCountedRequests = 4096
/** Maximum number of restricted requests; suspected requests are released before blocked ones, the oldest first. */
export const maxRestrictedRequests = 256
/** Maximum number of servers listed for a restricted request, and of ends counted for one request. */
const maxListedServers = 8
const maxCountedEnds = 64

/** Servers that ended under a request since it was last answered or released. */
export interface CountedEnds {
  readonly route: string
  /** Ended servers by incarnation. */
  readonly servers: ReadonlyMap<string, ServerId>
  readonly lastAt: Millis
}

/** Ended servers by request, the least recently reported request first. */
export type CrashRegister = Map<RequestFingerprint, CountedEnds>

const crashCommandTypes = new Set(['reportServerEnds', 'releaseRequest'])

/** Whether a command concerns requests that end servers. */
export function isCrashCommand (command: { readonly type: string }): command is CrashCommand {
  return crashCommandTypes.has(command.type)
}

/** Whether a request may not be sent like others. */
export function isRestricted ({ state }: CrashingRequestItem): boolean {
  return state !== 'released'
}

/** Whether a request was suspected or blocked after a version. */
export function hasRestrictionSince (config: Config, version: number): boolean {
  for (const entry of config.items.values()) {
    if (entry.version > version && entry.item.kind === 'crashingRequest' && isRestricted(entry.item)) return true
  }
  return false
}

/**
 * Applies a command as the given version of the configuration.
 *
 * @param at the log's time
 */
export function applyCrashCommand (config: Config, register: CrashRegister, chart: Chart, command: CrashCommand, version: number, at: Millis): ChangeAnswer {
  if (command.type === 'releaseRequest') {
    const isReleased = advance(config, chart, command.request, 'release', version)
    // An operator whose first call got no answer repeats it.
    const wasReleased = findItem(config, 'crashingRequest', command.request)?.state === 'released'
    if (!isReleased && !wasReleased) return { ok: false, code: 'notFound', detail: `no restricted request '${command.request}'`, winner: undefined }
    register.delete(command.request)
    return accept(config)
  }
  forgetOldEnds(register, at)
  for (const end of command.ends) {
    countEnd(register, end, at)
    if (end.isTrial) blockAfterTrial(config, chart, end, version, at)
  }
  for (const request of command.answered) {
    register.delete(request)
    advance(config, chart, request, 'answer', version)
  }
  updateSuspects(config, register, chart, version)
  return accept(config)
}

function accept (config: Config): ChangeAnswer {
  return { ok: true, version: config.version, itemVersion: config.version }
}

function countEnd (register: CrashRegister, { request, route, server, bornAt }: ServerEnd, at: Millis): void {
  const servers = new Map(register.get(request)?.servers).set(`${server} ${bornAt}`, server)
  register.delete(request)
  register.set(request, { route, servers, lastAt: at })
  if (servers.size > maxCountedEnds) dropOldest(servers)
  if (register.size > maxCountedRequests) dropOldest(register)
}

function blockAfterTrial (config: Config, chart: Chart, { request, server }: ServerEnd, version: number, at: Millis): void {
  const item = findItem(config, 'crashingRequest', request)
  if (item === undefined || !isRestricted(item)) return
  setItem(config, version, {
    ...item,
    state: nextState(chart, item.state, 'end'),
    servers: [...item.servers, server].slice(-maxListedServers),
    blockedUntil: at + Math.min(maxBlockMs, firstBlockMs * 2 ** item.failedTrials),
    failedTrials: item.failedTrials + 1
  })
}

/**
 * Suspects requests that explain the ends of several servers, and releases suspected ones that no longer do.
 *
 * A popular request is at most servers that end, whatever ended them. The end of a server therefore counts for the request
 * alone under which the most servers have ended.
 */
function updateSuspects (config: Config, register: CrashRegister, chart: Chart, version: number): void {
  const maxEnds = countMaxEnds(register)
  for (const [request, { route, servers }] of register) {
    const item = findItem(config, 'crashingRequest', request)
    const state = item?.state ?? 'released'
    const explained = [...servers.keys()].filter(key => maxEnds.get(key) === servers.size)
    const isSuspect = explained.length >= minSuspectEnds
    if (state === 'released' && isSuspect) suspect(config, chart, request, route, [...servers.values()], item, version)
    else if (state === chart.initial && !isSuspect) advance(config, chart, request, 'release', version)
  }
}

/** Returns, for each ended server, the largest number of ends of any request that was at it. */
function countMaxEnds (register: CrashRegister): Map<string, number> {
  const maxEnds = new Map<string, number>()
  for (const { servers } of register.values()) {
    for (const key of servers.keys()) maxEnds.set(key, Math.max(maxEnds.get(key) ?? 0, servers.size))
  }
  return maxEnds
}

function suspect (config: Config, chart: Chart, request: RequestFingerprint, route: string, servers: readonly ServerId[], released: CrashingRequestItem | undefined, version: number): void {
  const state = released === undefined ? chart.initial : nextState(chart, released.state, 'end')
  setItem(config, version, { kind: 'crashingRequest', key: request, route, state, servers: servers.slice(-maxListedServers), blockedUntil: 0, failedTrials: 0 })
  boundRestricted(config, chart, version)
}

/** Applies an event to a restricted request; returns false if there is none or its chart does not allow the event. */
function advance (config: Config, chart: Chart, request: RequestFingerprint, event: 'answer' | 'release', version: number): boolean {
  const item = findItem(config, 'crashingRequest', request)
  if (item === undefined || !hasTransition(chart, item.state, event)) return false
  setItem(config, version, { ...item, state: nextState(chart, item.state, event), blockedUntil: 0, failedTrials: 0 })
  return true
}

function boundRestricted (config: Config, chart: Chart, version: number): void {
  const restricted = listItems(config, 'crashingRequest').filter(isRestricted)
  if (restricted.length <= maxRestrictedRequests) return
  const dropped = restricted.find(item => item.state === chart.initial) ?? restricted[0]
  if (dropped !== undefined) advance(config, chart, dropped.key, 'release', version)
}

function forgetOldEnds (register: CrashRegister, at: Millis): void {
  for (const [request, { lastAt }] of register) {
    if (at - lastAt < endMemoryMs) return
    register.delete(request)
  }
}

/** A counted request in a snapshot. */
export type StoredEnds = readonly [RequestFingerprint, { readonly route: string, readonly servers: ReadonlyArray<readonly [string, ServerId]>, readonly lastAt: Millis }]

export function serializeCrashRegister (register: CrashRegister): StoredEnds[] {
  return [...register].map(([request, ends]) => [request, { ...ends, servers: [...ends.servers] }])
}

export function restoreCrashRegister (stored: readonly StoredEnds[]): CrashRegister {
  return new Map(stored.map(([request, ends]) => [request, { ...ends, servers: new Map(ends.servers) }]))
}
