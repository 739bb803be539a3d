/** Applies changes of routes, evacuations and announcements to the configuration. */
import type { ServerId, ServiceId } from '@lynxcourse/base'
import type { ChangeAnswer } from '../types/commands.js'
import { routingKey } from '../types/routes.js'
import type {
  BackendAnnouncement, BackendItem, BackendState, CallerLimits, DismissCommand, EvacuateCommand, MissCommand, RouteChangeId,
  ReplaceRoutesCommand, Route, RouteCommand, RouteSet, RoutingItem, UpdateRoutesCommand, Upstream
} from '../types/routes.js'
import { findItem, listItems, setItem, getItemVersion } from './config.js'
import type { Config } from './config.js'

/** An aim this far above the time-out is taken for a slip of the pen. */
const maxAimOverTimeoutMs = 60_000

/** Most accepted orders that are remembered; two days at 9,800 changes a day. */
export const maxKeptOrders = 20_000

/** Orders that were accepted, so that one sent again after its answer was lost succeeds again. */
export type AcceptedOrders = Map<RouteChangeId, number>

/** Whether a command concerns routes or backend servers. */
export function isRouteCommand (command: { readonly type: string }): command is RouteCommand {
  return routeCommandTypes.has(command.type)
}

const routeCommandTypes = new Set(['replaceRoutes', 'updateRoutes', 'evacuate', 'announce', 'announceAll', 'dismiss', 'miss'])

/** Applies one command at a version of the log. */
export function applyRouteCommand (config: Config, orders: AcceptedOrders, command: RouteCommand, version: number): ChangeAnswer {
  switch (command.type) {
    case 'replaceRoutes':
    case 'updateRoutes': return applyOrder(config, orders, command, version)
    case 'evacuate': return evacuate(config, command, version)
    case 'announce': return announce(config, command.facts, version)
    case 'announceAll':
      for (const facts of command.servers) announce(config, facts, version)
      return accepted(config)
    case 'dismiss': return setStates(config, command, 'gone', version)
    case 'miss': return setStates(config, command, 'lost', version)
  }
}

/** The routes' version, by operators' count; 0 before the first. */
export function getRoutesVersion (config: Config): number {
  return findItem(config, 'routing', routingKey)?.routesVersion ?? 0
}

/** The routes in force; undefined before the first order. */
export function findRouteSet (config: Config): RouteSet | undefined {
  const routing = findItem(config, 'routing', routingKey)
  if (routing === undefined) return undefined
  const routes = listItems(config, 'route').flatMap(item => item.route ?? [])
  const upstreams = listItems(config, 'upstream').flatMap(item => item.upstream ?? [])
  return { routes, upstreams, limits: routing.limits }
}

function accepted (config: Config): ChangeAnswer {
  return { ok: true, version: config.version, itemVersion: getRoutesVersion(config) }
}

function refused (code: 'versionConflict' | 'badRequest', detail: string): ChangeAnswer {
  return { ok: false, code, detail, winner: undefined }
}

function applyOrder (config: Config, orders: AcceptedOrders, command: ReplaceRoutesCommand | UpdateRoutesCommand, version: number): ChangeAnswer {
  if (orders.has(command.order)) return accepted(config)
  const current = getRoutesVersion(config)
  if (command.baseVersion !== current) return refused('versionConflict', `builds on version ${command.baseVersion}, but ${current} is current`)
  if (command.routesVersion <= current) return refused('badRequest', `version: ${command.routesVersion} is not above ${current}`)
  const next = command.type === 'replaceRoutes' ? command.set : mergeRoutes(config, command)
  if (next === undefined) return refused('versionConflict', 'there are no routes yet to change')
  const problem = findProblem(next)
  if (problem !== undefined) return refused('badRequest', problem)
  writeRoutes(config, next, version)
  const item: RoutingItem = { kind: 'routing', key: routingKey, routesVersion: command.routesVersion, limits: next.limits }
  setItem(config, version, item)
  orders.set(command.order, command.routesVersion)
  if (orders.size > maxKeptOrders) dropOldest(orders)
  return accepted(config)
}

function dropOldest (orders: AcceptedOrders): void {
  const [oldest] = orders.keys()
  if (oldest !== undefined) orders.delete(oldest)
}

function mergeRoutes (config: Config, command: UpdateRoutesCommand): RouteSet | undefined {
  const held = findRouteSet(config)
  if (held === undefined) return undefined
  return {
    routes: mergeByName(held.routes, command.putRoutes, command.removeRoutes),
    upstreams: mergeByName<Upstream>(held.upstreams, command.putUpstreams, command.removeUpstreams),
    limits: command.limits ?? held.limits
  }
}

function mergeByName<Item extends { readonly name: string }> (held: readonly Item[], put: readonly Item[], remove: readonly string[]): Item[] {
  const byName = new Map(held.map(item => [item.name, item]))
  for (const name of remove) byName.delete(name)
  for (const item of put) byName.set(item.name, item)
  return [...byName.values()]
}

/** What is wrong with a set of routes, naming the item and its field; undefined if nothing is. */
export function findProblem (set: RouteSet): string | undefined {
  const services = new Set(set.upstreams.map(upstream => upstream.name))
  const places = new Set<string>()
  const names = new Set<string>()
  for (const route of set.routes) {
    const problem = problemOf(route, services)
    if (problem !== undefined) return `route '${route.name}': ${problem}`
    const place = `${route.host} ${route.pathPrefix}`
    if (places.has(place)) return `route '${route.name}': pathPrefix is taken by another route of the host`
    if (names.has(route.name)) return `route '${route.name}': name is used twice`
    places.add(place)
    names.add(route.name)
  }
  return undefined
}

function problemOf (route: Route, services: ReadonlySet<string>): string | undefined {
  if (!(route.timeoutMs > 0)) return 'timeout is not above 0'
  if (route.aimMs >= route.timeoutMs + maxAimOverTimeoutMs) return 'latency objective is a minute or more above the timeout'
  if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) return 'pathPrefix must begin and end with a slash'
  const parts = getRouteServices(route)
  if (parts.length === 0) return 'names no service'
  const unknown = parts.find(part => !services.has(part.service))
  if (unknown !== undefined) return `service '${unknown.service}' is not known`
  if (parts.some(part => part.weight < 0)) return 'a weight is below 0'
  if (parts.reduce((sum, part) => sum + part.weight, 0) <= 0) return 'weights add up to 0'
  return undefined
}

/** The services of a route with their weights. */
export function getRouteServices (route: Route): readonly WeightedPart[] {
  return route.service === undefined ? route.split : [{ service: route.service, weight: 1 }]
}

type WeightedPart = Route['split'][number]

function writeRoutes (config: Config, next: RouteSet, version: number): void {
  const routes = new Map(next.routes.map(route => [route.name, route]))
  for (const item of listItems(config, 'route')) {
    if (item.route !== undefined && !routes.has(item.key)) setItem(config, version, { kind: 'route', key: item.key, route: undefined })
  }
  for (const route of next.routes) {
    if (!isSame(findItem(config, 'route', route.name)?.route, route)) setItem(config, version, { kind: 'route', key: route.name, route })
  }
  const upstreams = new Map<string, Upstream>(next.upstreams.map(upstream => [upstream.name, upstream]))
  for (const item of listItems(config, 'upstream')) {
    if (item.upstream !== undefined && !upstreams.has(item.key)) setItem(config, version, { kind: 'upstream', key: item.key, upstream: undefined })
  }
  for (const upstream of next.upstreams) {
    if (!isSame(findItem(config, 'upstream', upstream.name)?.upstream, upstream)) setItem(config, version, { kind: 'upstream', key: upstream.name, upstream })
  }
}

function isSame (held: object | undefined, next: object): boolean {
  return held !== undefined && JSON.stringify(held) === JSON.stringify(next)
}

function evacuate (config: Config, command: EvacuateCommand, version: number): ChangeAnswer {
  const { failureDomain, isActive, baseVersion } = command
  const held = findItem(config, 'evacuation', failureDomain)
  if ((held?.isActive ?? false) === isActive) return accepted(config)
  const changedAt = getItemVersion(config, 'evacuation', failureDomain)
  // An order that lay at a VM that was frozen or cut off would undo what was confirmed meanwhile.
  if (baseVersion !== undefined && changedAt > baseVersion) {
    return refused('versionConflict', `failure domain '${failureDomain}' changed at version ${changedAt}, after ${baseVersion}`)
  }
  setItem(config, version, { kind: 'evacuation', key: failureDomain, isActive })
  return accepted(config)
}

function announce (config: Config, facts: BackendAnnouncement, version: number): ChangeAnswer {
  const held = findItem(config, 'backend', facts.id)
  if (!acceptsAnnouncement(config, facts, held)) return accepted(config)
  for (const other of othersAt(config, facts)) setBackend(config, other, 'gone', version)
  // Once a server said that it leaves, it leaves; the next start under its id did not say so.
  const isDraining = facts.isDraining || (held?.state === 'draining' && !isNextStart(facts, held))
  const item: BackendItem = { kind: 'backend', key: facts.id, facts, state: isDraining ? 'draining' : 'serving' }
  setItem(config, version, item)
  return accepted(config)
}

/**
 * Whether an announcement tells of the present.
 *
 * What can go wrong: announcements are held up on their way, and others than servers may write them. A late one of a former start
 * would undo what the present one said, revive a server that has ended, or take the address from its successor; one for a service
 * that no route knows would do so too. It shows as a server that is left out though it answers, or used though it has ended.
 */
export function acceptsAnnouncement (config: Config, facts: BackendAnnouncement, held = findItem(config, 'backend', facts.id)): boolean {
  if (!isKnownService(config, facts.service)) return false
  if (othersAt(config, facts).some(other => other.state !== 'lost' && isFormerStart(facts, other))) return false
  if (held === undefined || isNextStart(facts, held)) return true
  if (held.state === 'gone') return false
  // Clocks may be set back between two starts: once nothing was heard of the one that is known, the other's word counts.
  if (isFormerStart(facts, held)) return held.state === 'lost'
  return facts.seq >= held.facts.seq
}

/** Servers start before the first routes come; from then on a service has to be named by them. */
function isKnownService (config: Config, service: ServiceId): boolean {
  return getRoutesVersion(config) === 0 || findItem(config, 'upstream', service)?.upstream !== undefined
}

/** Servers that were at the same address and have not ended. */
function othersAt (config: Config, facts: BackendAnnouncement): BackendItem[] {
  return listItems(config, 'backend').filter(other => other.key !== facts.id && other.facts.address === facts.address && other.state !== 'gone')
}

/** Whether a server started after the start that is known; without a time of start nobody can tell. */
function isNextStart (facts: BackendAnnouncement, held: BackendItem): boolean {
  return facts.bornAt > held.facts.bornAt && held.facts.bornAt > 0
}

function isFormerStart (facts: BackendAnnouncement, held: BackendItem): boolean {
  return facts.bornAt > 0 && facts.bornAt < held.facts.bornAt
}

function setBackend (config: Config, item: BackendItem, state: BackendState, version: number): void {
  setItem(config, version, { ...item, state })
}

function setStates (config: Config, command: DismissCommand | MissCommand, state: BackendState, version: number): ChangeAnswer {
  for (const id of command.ids) {
    const held = findItem(config, 'backend', id)
    if (held === undefined || held.state === 'gone' || held.state === state) continue
    // A former start that ended, or a word of its end that was held up, does not end the present one.
    if (command.type === 'dismiss' && command.bornAt !== undefined && command.bornAt < held.facts.bornAt) continue
    if (state === 'lost' && held.state === 'draining') setBackend(config, held, 'gone', version)
    else setBackend(config, held, state, version)
  }
  return accepted(config)
}

/** Whether an announcement says anything that the configuration doesn't hold yet. */
export function hasBackendChanged (config: Config, facts: BackendAnnouncement): boolean {
  const held = findItem(config, 'backend', facts.id)
  if (!acceptsAnnouncement(config, facts, held)) return false
  if (held === undefined || held.state === 'lost' || isNextStart(facts, held)) return true
  if (facts.isDraining !== (held.state === 'draining')) return facts.isDraining
  const { service, address, failureDomain, slots, software } = held.facts
  const isMoved = service !== facts.service || address !== facts.address || failureDomain !== facts.failureDomain || software !== facts.software
  return isMoved || slots !== facts.slots || (facts.coldMs > 0) !== (held.facts.coldMs > 0)
}

/** Ids of the servers that count as present. */
export function listPresentBackends (config: Config): ServerId[] {
  return listItems(config, 'backend').filter(item => item.state === 'serving' || item.state === 'draining').map(item => item.key)
}

/** Limits for callers before the first order. */
export const defaultCallerLimits: CallerLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 5000, idleTimeoutMs: 15_000 }
