/** An entry VM follows the control VMs' state by watches that stay open until there is news. */
import { getErrorMessage, rankByHash } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { applyDelta } from '@lynxcourse/state'
import { flushLoadReport } from '@lynxcourse/placement'
import type { EntryPresence } from '@lynxcourse/placement'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { delay } from '../node/timers.js'
import { callPeer } from '../rpc/rpcClient.js'
import { controlAddresses, notifyFleetChange } from './fleetNode.js'
import type { FleetNode } from './fleetNode.js'
import type { WatchReply, WatchRequest } from './fleetMethods.js'

/** A control VM that failed is passed over for this long. */
const avoidMs = 2000
/** Pause after a failure, so that a fleet without control VMs is not flooded. */
const retryMs = 60
/** A VM without a state waits this long at one control VM for it, about the time of an election, before it asks the next one. */
const firstWatchMs = 500
/** Names of entry VMs are remembered for this long, since a control VM that has just started knows few. */
const namesKeptMs = 30_000

/** Follows; disposal ends it. */
export interface Watching extends AsyncDisposable {
  readonly node: FleetNode
  readonly self: () => EntryPresence
  readonly avoided: Map<string, Millis>
  readonly namesAt: Map<string, Millis>
  parent: string | undefined
  stopped: boolean
}

export function startWatching (node: FleetNode, self: () => EntryPresence): Watching {
  const watching: Watching = {
    node,
    self,
    avoided: new Map(),
    namesAt: new Map(),
    parent: undefined,
    stopped: false,
    [Symbol.asyncDispose]: async () => { watching.stopped = true }
  }
  follow(watching).catch((err: unknown) => log(node.logs, 'sync', 'error', 'Following ended.', { error: getErrorMessage(err) }))
  return watching
}

async function follow (watching: Watching): Promise<void> {
  const { node } = watching
  while (!watching.stopped) {
    const parent = chooseControl(watching, getCurrentTime())
    if (parent === undefined) {
      watching.avoided.clear()
      await delay(retryMs)
      continue
    }
    try {
      const isFirst = parent !== watching.parent
      const reply = await watchOnce(watching, parent, waitFor(watching, isFirst))
      if (isFirst) log(node.logs, 'sync', 'info', 'Follows a control VM.', { peer: parent, ageMs: reply.ageMs === null ? undefined : Math.round(reply.ageMs), version: node.config.version })
      watching.parent = parent
      takeWatchReply(watching, parent, reply, getCurrentTime())
    } catch (err) {
      log(node.logs, 'sync', 'warn', 'Control VM lost.', { peer: parent, error: getErrorMessage(err) })
      avoid(watching, parent, getCurrentTime())
      await delay(retryMs)
    }
  }
}

/** The first watch on a control VM returns at once, so that it shows whether that VM knows the present state; a VM without any waits for it. */
function waitFor ({ node }: Watching, isFirst: boolean): Millis {
  if (!isFirst) return node.cfg.times.watchMs
  return node.upToDateAt === -Infinity ? firstWatchMs : 0
}

/** Tells one control VM at once of a change of this VM's own state. */
export async function tellPresence (watching: Watching): Promise<void> {
  const parent = chooseControl(watching, getCurrentTime())
  if (parent === undefined) return
  await watchOnce(watching, parent, 0).catch((err: unknown) => log(watching.node.logs, 'sync', 'warn', 'Presence not told.', { peer: parent, error: getErrorMessage(err) }))
}

async function watchOnce (watching: Watching, parent: string, waitMs: Millis): Promise<WatchReply> {
  const { node } = watching
  const load = flushLoadReport(node.load, getCurrentTime())
  const request: WatchRequest = { version: node.config.version, waitMs, self: watching.self(), weights: node.loadUpdate.weights?.version ?? 0, ...(load === undefined ? {} : { load }) }
  return await callPeer<WatchReply>(node.client, parent, 'fleet.watch', request, waitMs + node.cfg.times.rpcTimeoutMs)
}

/** A control VM of this region if one answers, else any. */
function chooseControl (watching: Watching, now: Millis): string | undefined {
  const { node } = watching
  const open = controlAddresses(node).filter(address => (watching.avoided.get(address) ?? 0) <= now)
  const near = open.filter(address => node.controls.some(place => place.rpc === address && place.region === node.cfg.region))
  return rankByHash(node.cfg.name, near.length > 0 ? near : open)[0]
}

function avoid (watching: Watching, address: string, now: Millis): void {
  watching.avoided.set(address, now + avoidMs)
  if (watching.parent === address) watching.parent = undefined
}

function takeWatchReply (watching: Watching, parent: string, reply: WatchReply, now: Millis): void {
  const { node } = watching
  if (reply.controls.length > 0) node.controls = reply.controls
  const weights = reply.news.weights ?? node.loadUpdate.weights
  // A control VM that has just started has heard of no plans yet; what this VM was told last goes on until then.
  const plans = reply.news.plans.length > 0 ? reply.news.plans : node.loadUpdate.plans
  node.loadUpdate = { ...reply.news, plans, ...(weights === undefined ? {} : { weights }) }
  for (const listener of node.onLoad) listener()
  for (const name of reply.entries) watching.namesAt.set(name, now)
  for (const [name, at] of watching.namesAt) if (now - at > namesKeptMs) watching.namesAt.delete(name)
  node.entryNames = [...new Set([node.cfg.name, ...watching.namesAt.keys()])].sort()
  const isStale = reply.ageMs === null || reply.ageMs > node.cfg.times.staleMs
  // A control VM that was cut off or has just started may hold an old state. It does no harm to a VM that
  // already follows, since versions only grow; it must not be the first word that a VM hears.
  if (isStale && node.upToDateAt === -Infinity) {
    avoid(watching, parent, now)
    return
  }
  const before = node.config.version
  const isWhole = reply.delta === undefined || applyDelta(node.config, reply.delta)
  if (isStale) avoid(watching, parent, now)
  else if (isWhole) node.upToDateAt = now - (reply.ageMs ?? 0)
  if (node.config.version !== before) {
    log(node.logs, 'sync', 'info', 'State in force.', { version: node.config.version, from: before, items: reply.delta?.items.length, peer: parent })
    notifyFleetChange(node)
  }
}
