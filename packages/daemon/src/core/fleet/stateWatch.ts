/** An entry VM follows the state of the control VMs by long polling: a watch stays open until there is a change. */
import { getErrorMessage } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { applyDelta } from '@lynxcourse/state'
import { flushLoadReport, hasState, listMembers, recordConfirmation, recordEntryList, recordGivenShares } from '@lynxcourse/placement'
import type { ClockReading, EntryList, EntryPresence } from '@lynxcourse/placement'
import { getCurrentTime, readClocks } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { delay } from '../node/timers.js'
import { callPeer } from '../rpc/rpcClient.js'
import { notifyFleetChange, notifyStateUse, rankControls } from './fleetNode.js'
import type { FleetNode } from './fleetNode.js'
import type { WatchReply, WatchRequest } from './fleetMethods.js'

/** Time during which a control VM that failed is not used. */
const avoidDurationMs = 2000
/** Delay after a failure, so that control VMs that can't answer are not flooded. */
const retryDelayMs = 60
/**
 * Time that a VM without a state waits for one control VM, before it tries the next one: about the duration of an
 * election.
 */
const firstWatchTimeoutMs = 500
/** A running watch of the state; disposal stops it. */
export interface StateWatch extends AsyncDisposable {
  readonly node: FleetNode
  readonly self: () => EntryPresence
  readonly avoidedUntil: Map<string, Millis>
  currentControl: string | undefined
  /** The question to the control VMs whether the copy is current, while it is open. */
  confirmation: Promise<void> | undefined
  /** A fetch of the state outside the watch, while it is running. */
  fetch: Promise<boolean> | undefined
  stopped: boolean
}

export function startStateWatch (node: FleetNode, self: () => EntryPresence): StateWatch {
  const watch: StateWatch = {
    node,
    self,
    avoidedUntil: new Map(),
    currentControl: undefined,
    confirmation: undefined,
    fetch: undefined,
    stopped: false,
    [Symbol.asyncDispose]: async () => { watch.stopped = true }
  }
  runWatch(watch).catch((err: unknown) => log(node.logs, 'sync', 'error', 'Watching of the state ended unexpectedly.', { error: getErrorMessage(err) }))
  return watch
}

async function runWatch (watch: StateWatch): Promise<void> {
  const { node } = watch
  while (!watch.stopped) {
    const control = chooseControl(watch, getCurrentTime())
    if (control === undefined) {
      watch.avoidedUntil.clear()
      await delay(retryDelayMs)
      continue
    }
    try {
      const isFirst = control !== watch.currentControl
      const askedAt = readClocks()
      const reply = await watchOnce(watch, control, getWatchTimeout(watch, isFirst))
      if (isFirst) log(node.logs, 'sync', 'info', 'Watch at a control VM started.', { peer: control, ageMs: reply.ageMs === null ? undefined : Math.round(reply.ageMs), version: node.config.version })
      watch.currentControl = control
      applyWatchReply(watch, control, reply, askedAt, getCurrentTime())
    } catch (err) {
      log(node.logs, 'sync', 'warn', 'Watch at a control VM failed.', { peer: control, error: getErrorMessage(err) })
      avoidControl(watch, control, getCurrentTime())
      await delay(retryDelayMs)
    }
  }
}

/**
 * Returns how long a watch may stay open. The first watch at a control VM returns immediately, which shows whether that
 * VM knows the current state. A VM that has no state yet waits for one.
 */
function getWatchTimeout ({ node }: StateWatch, isFirst: boolean): Millis {
  const { watchMs, maxStateAgeMs } = node.cfg.times
  // The copy has to be confirmed again well before it is too old to decide by.
  if (!isFirst) return Math.min(watchMs, maxStateAgeMs / 2)
  return hasState(node.freshness) ? 0 : firstWatchTimeoutMs
}

/** Sends a change of this VM's presence to one control VM immediately. */
export async function publishPresence (watch: StateWatch): Promise<void> {
  const control = chooseControl(watch, getCurrentTime())
  if (control === undefined) return
  await watchOnce(watch, control, 0).catch((err: unknown) => log(watch.node.logs, 'sync', 'warn', 'Presence could not be published.', { peer: control, error: getErrorMessage(err) }))
}

/** Fetches the state from one control VM, unless a fetch is running already; returns whether the copy is now the current state. */
export async function fetchState (watch: StateWatch, control: string): Promise<boolean> {
  const fetchOnce = async (): Promise<boolean> => {
    const askedAt = readClocks()
    return applyWatchReply(watch, control, await watchOnce(watch, control, 0), askedAt, getCurrentTime())
  }
  watch.fetch ??= fetchOnce().finally(() => { watch.fetch = undefined })
  return await watch.fetch
}

async function watchOnce (watch: StateWatch, control: string, waitMs: Millis): Promise<WatchReply> {
  const { node } = watch
  const now = getCurrentTime()
  const load = flushLoadReport(node.load, now, node.listLimitDemand(now), node.listRolloutReports(now))
  const request: WatchRequest = { version: node.config.version, waitMs, self: watch.self(), weights: node.loadUpdate.weights?.version ?? 0, ...(load === undefined ? {} : { load }) }
  return await callPeer<WatchReply>(node.client, control, 'fleet.watch', request, waitMs + node.cfg.times.rpcTimeoutMs)
}

/**
 * Selects a control VM that did not fail recently: one of this region if possible, otherwise any; undefined if there is
 * none.
 */
function chooseControl (watch: StateWatch, now: Millis): string | undefined {
  return rankControls(watch.node, address => (watch.avoidedUntil.get(address) ?? 0) <= now)[0]
}

function avoidControl (watch: StateWatch, address: string, now: Millis): void {
  watch.avoidedUntil.set(address, now + avoidDurationMs)
  if (watch.currentControl === address) watch.currentControl = undefined
}

function applyEntryList (node: FleetNode, list: EntryList, askedAt: ClockReading, now: Millis): void {
  recordEntryList(node.membership, list, askedAt, now)
  const entryNames = listMembers(node.membership)
  // Rankings of the VMs are kept for as long as the list is the same array.
  if (entryNames.length === node.entryNames.length && entryNames.every((name, index) => name === node.entryNames[index])) return
  node.entryNames = entryNames
  for (const listener of node.onEntriesChange) listener()
}

/** Applies a reply; returns whether the copy is now the current state. */
function applyWatchReply (watch: StateWatch, control: string, reply: WatchReply, askedAt: ClockReading, now: Millis): boolean {
  const { node } = watch
  if (reply.controls.length > 0) node.controls = reply.controls
  const weights = reply.news.weights ?? node.loadUpdate.weights
  // A control VM that has just started knows no plans yet; the previous plans of this VM stay valid until it does.
  const plans = reply.news.plans.length > 0 ? reply.news.plans : node.loadUpdate.plans
  node.loadUpdate = { ...reply.news, plans, ...(weights === undefined ? {} : { weights }) }
  // Control VMs of earlier versions don't say the age, and give the fraction of a silent VM away.
  recordGivenShares(node.membership, reply.newsAgeMs === undefined ? 0 : reply.newsAgeMs, askedAt)
  for (const listener of node.onLoadUpdate) listener()
  applyEntryList(node, { names: reply.entries, ageMs: reply.entriesAgeMs }, askedAt, now)
  const isStale = reply.ageMs === null || reply.ageMs > node.cfg.times.staleMs
  // A control VM that was partitioned or has just started may have a stale state. A VM that already has a state can
  // apply it safely, since versions only increase, but it must not be the first state of a VM.
  if (isStale && !hasState(node.freshness)) {
    avoidControl(watch, control, now)
    return false
  }
  const previousVersion = node.config.version
  const startedAt = getCurrentTime()
  const isComplete = reply.delta === undefined || applyDelta(node.config, reply.delta)
  if (isStale) avoidControl(watch, control, now)
  else if (isComplete) recordConfirmation(node.freshness, { askedAt, heldMs: reply.heldMs, ageMs: reply.ageMs ?? 0 })
  if (node.config.version !== previousVersion) {
    notifyFleetChange(node)
    log(node.logs, 'sync', 'info', 'State applied.', { version: node.config.version, from: previousVersion, items: reply.delta?.items.length, isFull: reply.delta?.full, peer: control, askedMs: Math.round(now - askedAt.steady), tookMs: Math.round(getCurrentTime() - startedAt) })
  }
  notifyStateUse(node)
  return !isStale && isComplete
}
