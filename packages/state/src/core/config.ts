/**
 * A copy of the configuration. Control VMs update it from the log, all other VMs from deltas. A lower version
 * never replaces a higher one, in whatever order deltas arrive.
 */
import type { ProfileName, ServiceId } from '@lynxcourse/base'
import type { ConfigDelta, ConfigItem, DrainItem, ProfileItem, ShiftItem, VersionedItem } from '../types/items.js'
import type { Profile } from '../types/profile.js'

/** Maximum number of finished items kept of each kind, such as ended drains and shifts. The oldest are dropped first. */
export const maxFinishedItems = 64
/**
 * Maximum number of ended backend servers kept. A late announcement of an ended server must be recognised, or it would
 * revive that server and end the one that now has its address. A release replaces some hundred servers in a minute.
 */
export const maxEndedServers = 4000
/**
 * Maximum number of servers kept that fell silent without a word that they end. A server that announces itself after it was dropped is
 * like a new one.
 */
export const maxLostServers = 4000
/** Maximum number of removed routes kept. A change may remove thousands, and without them each VM would need the whole state. */
export const maxRemovedRoutes = 4000

export interface Config {
  version: number
  /** Copies below this version need a full delta, since they may hold items that have been dropped here. */
  prunedBelow: number
  items: Map<string, VersionedItem>
}

export function createConfig (): Config {
  return { version: 0, prunedBelow: 0, items: new Map() }
}

function createItemKey (kind: ConfigItem['kind'], key: string): string {
  return `${kind} ${key}`
}

/** Sets an item at a new version. The items stay in the order of their versions. */
export function setItem (config: Config, version: number, item: ConfigItem): void {
  setItems(config, version, [item])
}

/** Sets items of one change at a new version, in this order. */
export function setItems (config: Config, version: number, items: readonly ConfigItem[]): void {
  const finishedKinds = new Set<ConfigItem['kind']>()
  let hasLostServers = false
  for (const item of items) {
    const key = createItemKey(item.kind, item.key)
    config.items.delete(key)
    config.items.set(key, { version, item })
    config.version = version
    if (isFinished(item)) finishedKinds.add(item.kind)
    else if (isLostServer(item)) hasLostServers = true
  }
  for (const kind of finishedKinds) pruneItems(config, item => item.kind === kind && isFinished(item), getMaxKept(kind))
  if (hasLostServers) pruneItems(config, isLostServer, maxLostServers)
}

/** Whether an item is a server that fell silent, and is used again if it announces itself. */
function isLostServer (item: ConfigItem): boolean {
  return item.kind === 'backend' && item.state === 'lost'
}

function isFinished (item: ConfigItem): boolean {
  switch (item.kind) {
    case 'drain':
    case 'shift': return item.state === 'cancelled' || item.state === 'complete'
    case 'route': return item.route === undefined
    case 'upstream': return item.upstream === undefined
    case 'team': return item.team === undefined
    case 'backend': return item.state === 'gone'
    case 'evacuation': return !item.isActive
    case 'crashingRequest': return item.state === 'released'
    case 'rollout': return item.state === 'completed' || item.state === 'rolledBack'
    default: return false
  }
}

/** Deletes all but the most recent of the items that a predicate accepts. */
function pruneItems (config: Config, isPruned: (item: ConfigItem) => boolean, maxKept: number): void {
  const keys: string[] = []
  for (const [key, { item }] of config.items) if (isPruned(item)) keys.push(key)
  for (const key of keys.slice(0, -maxKept)) deleteEntry(config, key)
}

function getMaxKept (kind: ConfigItem['kind']): number {
  if (kind === 'backend') return maxEndedServers
  return kind === 'route' ? maxRemovedRoutes : maxFinishedItems
}

/** Deletes an item; copies that may hold it need a full delta. */
export function deleteItem (config: Config, kind: ConfigItem['kind'], key: string): void {
  deleteEntry(config, createItemKey(kind, key))
}

function deleteEntry (config: Config, key: string): void {
  const entry = config.items.get(key)
  if (entry === undefined) return
  config.items.delete(key)
  config.prunedBelow = Math.max(config.prunedBelow, entry.version)
}

/** Returns the delta that brings a copy at version `from` to this version. */
export function getDeltaSince (config: Config, from: number): ConfigDelta {
  const full = from < config.prunedBelow || from > config.version
  const items = [...config.items.values()].filter(entry => full || entry.version > from)
  return { full, from, version: config.version, items }
}

/**
 * Applies a delta to a copy.
 *
 * @returns whether the copy is now at the delta's version or above; if false, the copy needs a full delta
 */
export function applyDelta (config: Config, delta: ConfigDelta): boolean {
  if (delta.version <= config.version) return true
  if (!delta.full && delta.from > config.version) return false
  if (delta.full) config.items = new Map()
  for (const entry of delta.items) {
    const key = createItemKey(entry.item.kind, entry.item.key)
    const current = config.items.get(key)
    if (current !== undefined && current.version >= entry.version) continue
    config.items.delete(key)
    config.items.set(key, entry)
  }
  config.version = delta.version
  return true
}

/** Returns the item of a kind with the given key, if there is one. */
export function findItem<Kind extends ConfigItem['kind']> (
  config: Config, kind: Kind, key: string
): Extract<ConfigItem, { kind: Kind }> | undefined {
  const item = config.items.get(createItemKey(kind, key))?.item
  return item?.kind === kind ? item as Extract<ConfigItem, { kind: Kind }> : undefined
}

/** Returns the version at which an item last changed; 0 if there is no such item. */
export function getItemVersion (config: Config, kind: ConfigItem['kind'], key: string): number {
  return config.items.get(createItemKey(kind, key))?.version ?? 0
}

/** Returns all items of a kind, the least recently changed first. */
export function listItems<Kind extends ConfigItem['kind']> (
  config: Config, kind: Kind
): Array<Extract<ConfigItem, { kind: Kind }>> {
  const found: Array<Extract<ConfigItem, { kind: Kind }>> = []
  for (const { item } of config.items.values()) {
    if (item.kind === kind) found.push(item as Extract<ConfigItem, { kind: Kind }>)
  }
  return found
}

/** Returns the profile that a service runs under; undefined if it has none or if the profile is retired. */
export function findServiceProfile (config: Config, service: ServiceId): Profile | undefined {
  const serviceItem = findItem(config, 'service', service)
  if (serviceItem === undefined) return undefined
  const item: ProfileItem | undefined = findItem(config, 'profile', serviceItem.profile)
  return item === undefined || item.retired ? undefined : item.profile
}

/** Whether any service runs under the given profile. */
export function isProfileInUse (config: Config, name: ProfileName): boolean {
  return listItems(config, 'service').some(item => item.profile === name)
}

/** Returns the drains that currently keep new work away from their targets. */
export function listActiveDrains (config: Config): DrainItem[] {
  return listItems(config, 'drain').filter(drain => drain.state === 'draining' || drain.state === 'drained')
}

/** Returns the shifts that currently move traffic. */
export function listActiveShifts (config: Config): ShiftItem[] {
  return listItems(config, 'shift').filter(shift => shift.state !== 'cancelled' && shift.percent > 0)
}
