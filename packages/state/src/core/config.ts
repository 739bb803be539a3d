/**
 * A copy of the configuration: at the control VMs written by the log, at all others by deltas. A
 * lower version never replaces a higher one, whatever order deltas arrive in.
 */
import type { ProfileName, ServiceId } from '@lynxcourse/base'
import type { ConfigDelta, ConfigItem, DrainItem, ProfileItem, ShiftItem, VersionedItem } from '../types/items.js'
import type { Profile } from '../types/profile.js'

/** Most finished items kept of each kind (drains, shifts, removed routes); older ones go. */
export const maxFinished = 64
/**
 * Most ended servers kept. A late announcement of a lifetime that has ended must be known as such, or it comes
 * back to life and ends the lifetime that has its address now; a release replaces some hundred servers in a minute.
 */
export const maxEndedServers = 4000

export interface Config {
  version: number
  /** Versions below this can't be brought up by a delta: items that they may hold are gone. */
  prunedBelow: number
  items: Map<string, VersionedItem>
}

export function createConfig (): Config {
  return { version: 0, prunedBelow: 0, items: new Map() }
}

function itemKey (kind: ConfigItem['kind'], key: string): string {
  return `${kind} ${key}`
}

/** Sets an item under a new version. Insertion order is version order. */
export function setItem (config: Config, version: number, item: ConfigItem): void {
  const key = itemKey(item.kind, item.key)
  config.items.delete(key)
  config.items.set(key, { version, item })
  config.version = version
  if (isFinished(item)) pruneFinished(config, item.kind)
}

function isFinished (item: ConfigItem): boolean {
  switch (item.kind) {
    case 'drain':
    case 'shift': return item.state === 'cancelled' || item.state === 'complete'
    case 'route': return item.route === undefined
    case 'upstream': return item.upstream === undefined
    case 'backend': return item.state === 'gone'
    case 'evacuation': return !item.isActive
    default: return false
  }
}

function pruneFinished (config: Config, kind: ConfigItem['kind']): void {
  const most = kind === 'backend' ? maxEndedServers : maxFinished
  const finished = [...config.items].filter(([, held]) => held.item.kind === kind && isFinished(held.item))
  for (const [key, held] of finished.slice(0, -most)) {
    config.items.delete(key)
    config.prunedBelow = Math.max(config.prunedBelow, held.version)
  }
}

/** What a copy at version `from` lacks. */
export function getDeltaSince (config: Config, from: number): ConfigDelta {
  const full = from < config.prunedBelow || from > config.version
  const items = [...config.items.values()].filter(held => full || held.version > from)
  return { full, from, version: config.version, items }
}

/**
 * Takes a delta over.
 *
 * @returns whether the copy is now at the delta's version or above; false asks for a full one
 */
export function applyDelta (config: Config, delta: ConfigDelta): boolean {
  if (delta.version <= config.version) return true
  if (!delta.full && delta.from > config.version) return false
  if (delta.full) config.items = new Map()
  for (const held of delta.items) {
    const key = itemKey(held.item.kind, held.item.key)
    const old = config.items.get(key)
    if (old !== undefined && old.version >= held.version) continue
    config.items.delete(key)
    config.items.set(key, held)
  }
  config.version = delta.version
  return true
}

/** The item of a kind under a key. */
export function findItem<Kind extends ConfigItem['kind']> (
  config: Config, kind: Kind, key: string
): Extract<ConfigItem, { kind: Kind }> | undefined {
  const item = config.items.get(itemKey(kind, key))?.item
  return item?.kind === kind ? item as Extract<ConfigItem, { kind: Kind }> : undefined
}

/** Version at which an item last changed; 0 for one that is not there. */
export function getItemVersion (config: Config, kind: ConfigItem['kind'], key: string): number {
  return config.items.get(itemKey(kind, key))?.version ?? 0
}

/** All items of a kind, oldest change first. */
export function listItems<Kind extends ConfigItem['kind']> (
  config: Config, kind: Kind
): Array<Extract<ConfigItem, { kind: Kind }>> {
  const found: Array<Extract<ConfigItem, { kind: Kind }>> = []
  for (const { item } of config.items.values()) {
    if (item.kind === kind) found.push(item as Extract<ConfigItem, { kind: Kind }>)
  }
  return found
}

/** The profile that a service runs under; undefined when it picked none or a retired one. */
export function findServiceProfile (config: Config, service: ServiceId): Profile | undefined {
  const pick = findItem(config, 'service', service)
  if (pick === undefined) return undefined
  const item: ProfileItem | undefined = findItem(config, 'profile', pick.profile)
  return item === undefined || item.retired ? undefined : item.profile
}

/** Whether a service runs under this profile. */
export function isPicked (config: Config, name: ProfileName): boolean {
  return listItems(config, 'service').some(item => item.profile === name)
}

/** Drains that keep new work away now. */
export function listActiveDrains (config: Config): DrainItem[] {
  return listItems(config, 'drain').filter(drain => drain.state === 'draining' || drain.state === 'drained')
}

/** Shifts that move traffic now. */
export function listActiveShifts (config: Config): ShiftItem[] {
  return listItems(config, 'shift').filter(shift => shift.state !== 'cancelled' && shift.percent > 0)
}
