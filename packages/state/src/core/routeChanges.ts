/** Applies changes of routes, teams, evacuations and announcements of backend servers to the configuration. */
import type { ServerId, ServiceId } from '@lynxcourse/base'
import type { ChangeAnswer } from '../types/commands.js'
import type { ConfigItem } from '../types/items.js'
import { routingKey } from '../types/routes.js'
import type {
  BackendAnnouncement, BackendItem, BackendState, CallerLimits, DismissCommand, EvacuateCommand, MissCommand, RouteChangeId,
  ReplaceRoutesCommand, Route, RouteCommand, RouteSet, RoutingItem, Team, UpdateRoutesCommand, Upstream
} from '../types/routes.js'
import { dropOldest } from '../utils/dropOldest.js'
import { findItem, listItems, setItem, setItems, getItemVersion } from './config.js'
import { measureRouteSet } from './routeSize.js'
import type { Config } from './config.js'
import { computeKeyDigest, findTeamProblem } from './teams.js'

/** A latency objective that exceeds the timeout by this much or more is rejected as a probable mistake. */
const maxAimAboveTimeoutMs = 60_000

/** Maximum number of routes; each change of more of them would take a control VM longer than an election timeout. */
export const maxRoutes = 40_000

/** Maximum estimated size of a configuration, in bytes of JSON text; the objects take several times as much memory. */
export const maxRouteSetBytes = 16_777_216

/** Maximum number of accepted route changes that are kept: two days at 9,800 changes a day. */
export const maxAcceptedRouteChanges = 20_000

/**
 * Accepted route changes, each with the routes' version that it set. They are kept so that a change that is resent because its
 * answer was lost succeeds again.
 */
export type AcceptedRouteChanges = Map<RouteChangeId, number>

/** Whether a command concerns routes, evacuations or backend servers. */
export function isRouteCommand (command: { readonly type: string }): command is RouteCommand {
  return routeCommandTypes.has(command.type)
}

const routeCommandTypes = new Set(['replaceRoutes', 'updateRoutes', 'evacuate', 'announce', 'announceAll', 'dismiss', 'miss'])

/** Applies a command as the given version of the configuration. */
export function applyRouteCommand (config: Config, acceptedChanges: AcceptedRouteChanges, command: RouteCommand, version: number): ChangeAnswer {
  switch (command.type) {
    case 'replaceRoutes':
    case 'updateRoutes': return applyRouteSetChange(config, acceptedChanges, command, version)
    case 'evacuate': return evacuate(config, command, version)
    case 'announce': return announce(config, command.facts, version)
    case 'announceAll':
      for (const facts of command.servers) announce(config, facts, version)
      return accept(config)
    case 'dismiss': return setBackendStates(config, command, 'gone', version)
    case 'miss': return setBackendStates(config, command, 'lost', version)
  }
}

/** Returns the version number that operators gave the current routes; 0 before the first routes. */
export function getRoutesVersion (config: Config): number {
  return findItem(config, 'routing', routingKey)?.routesVersion ?? 0
}

/** Returns the current routes; undefined before the first routes. */
export function findRouteSet (config: Config): RouteSet | undefined {
  const routing = findItem(config, 'routing', routingKey)
  if (routing === undefined) return undefined
  const routes = listItems(config, 'route').flatMap(item => item.route ?? [])
  const upstreams = listItems(config, 'upstream').flatMap(item => item.upstream ?? [])
  const teams = routing.hasTeams === true ? listItems(config, 'team').flatMap(item => item.team ?? []) : undefined
  return { routes, upstreams, limits: routing.limits, teams }
}

function accept (config: Config): ChangeAnswer {
  return { ok: true, version: config.version, itemVersion: getRoutesVersion(config) }
}

function reject (code: 'versionConflict' | 'badRequest', detail: string): ChangeAnswer {
  return { ok: false, code, detail, winner: undefined }
}

function applyRouteSetChange (config: Config, acceptedChanges: AcceptedRouteChanges, command: ReplaceRoutesCommand | UpdateRoutesCommand, version: number): ChangeAnswer {
  if (acceptedChanges.has(command.order)) return accept(config)
  const current = getRoutesVersion(config)
  if (command.baseVersion !== current) return reject('versionConflict', `based on version ${command.baseVersion}, but the current version is ${current}`)
  if (command.routesVersion <= current) return reject('badRequest', `version: ${command.routesVersion} is not above the current version ${current}`)
  const next = command.type === 'replaceRoutes' ? command.set : mergeRoutes(config, command)
  if (next === undefined) return reject('versionConflict', 'there are no routes to update yet')
  const problem = findRouteSetProblem(next)
  if (problem !== undefined) return reject('badRequest', problem)
  writeRoutes(config, next, version)
  const item: RoutingItem = { kind: 'routing', key: routingKey, routesVersion: command.routesVersion, limits: next.limits, hasTeams: next.teams !== undefined }
  setItem(config, version, item)
  acceptedChanges.set(command.order, command.routesVersion)
  if (acceptedChanges.size > maxAcceptedRouteChanges) dropOldest(acceptedChanges)
  return accept(config)
}

function mergeRoutes (config: Config, command: UpdateRoutesCommand): RouteSet | undefined {
  const current = findRouteSet(config)
  if (current === undefined) return undefined
  return {
    routes: mergeByName(current.routes, command.putRoutes, command.removeRoutes),
    upstreams: mergeByName<Upstream>(current.upstreams, command.putUpstreams, command.removeUpstreams),
    limits: command.limits ?? current.limits,
    teams: mergeTeams(current.teams, command)
  }
}

/** Callers need keys from the first team on, also after the last team was removed. */
function mergeTeams (current: readonly Team[] | undefined, { putTeams = [], removeTeams = [] }: UpdateRoutesCommand): readonly Team[] | undefined {
  if (current === undefined && putTeams.length === 0) return undefined
  return mergeByName<Team>(current ?? [], putTeams, removeTeams)
}

function mergeByName<Item extends { readonly name: string }> (current: readonly Item[], added: readonly Item[], removed: readonly string[]): Item[] {
  const byName = new Map(current.map(item => [item.name, item]))
  for (const name of removed) byName.delete(name)
  for (const item of added) byName.set(item.name, item)
  return [...byName.values()]
}

/** Returns a description of the first invalid route or team, with its name and field; undefined if all are valid. */
export function findRouteSetProblem (set: RouteSet): string | undefined {
  if (set.routes.length > maxRoutes) return `routes: ${set.routes.length} routes, at most ${maxRoutes} are possible`
  const bytes = measureRouteSet(set)
  if (bytes > maxRouteSetBytes) return `configuration: about ${bytes} bytes, at most ${maxRouteSetBytes} are possible`
  const services = new Set(set.upstreams.map(upstream => upstream.name))
  const usedMatches = new Set<string>()
  const usedNames = new Set<string>()
  for (const route of set.routes) {
    const problem = findRouteProblem(route, services)
    if (problem !== undefined) return `route '${route.name}': ${problem}`
    const match = `${route.host.toLowerCase()} ${route.pathPrefix}`
    if (usedMatches.has(match)) return `route '${route.name}': pathPrefix is taken by another route of the same host`
    if (usedNames.has(route.name)) return `route '${route.name}': name is used by another route`
    usedMatches.add(match)
    usedNames.add(route.name)
  }
  return findTeamProblem(set.teams ?? [])
}

function findRouteProblem (route: Route, services: ReadonlySet<string>): string | undefined {
  if (!(route.timeoutMs > 0)) return 'timeout must be above 0'
  if (route.aimMs >= route.timeoutMs + maxAimAboveTimeoutMs) return 'latency objective must be less than a minute above the timeout'
  if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) return 'pathPrefix must begin and end with a slash'
  const routeServices = getRouteServices(route)
  if (routeServices.length === 0) return 'has no service'
  const unknownService = [...routeServices, ...route.split].find(entry => !services.has(entry.service))
  if (unknownService !== undefined) return `service '${unknownService.service}' is not known`
  if (routeServices.some(entry => entry.weight < 0)) return 'a weight is negative'
  if (routeServices.reduce((sum, entry) => sum + entry.weight, 0) <= 0) return 'weights add up to 0'
  return undefined
}

/** Returns the services of a route with their weights. */
export function getRouteServices (route: Route): readonly RouteService[] {
  return route.service === undefined ? route.split : [{ service: route.service, weight: 1 }]
}

type RouteService = Route['split'][number]

function writeRoutes (config: Config, next: RouteSet, version: number): void {
  const routes = listItems(config, 'route').map(({ key, route }) => [key, route] as const)
  writeChanged(config, version, routes, next.routes, (key, route) => ({ kind: 'route', key, route }))
  const upstreams = listItems(config, 'upstream').map(({ key, upstream }) => [key, upstream] as const)
  writeChanged(config, version, upstreams, next.upstreams, (key, upstream) => ({ kind: 'upstream', key, upstream }))
  const teams = listItems(config, 'team').map(({ key, team }) => [key, team] as const)
  writeChanged(config, version, teams, next.teams ?? [], (key, team) => ({ kind: 'team', key, team, keyDigests: team?.keys.map(computeKeyDigest) ?? [] }))
}

/**
 * Writes the items of one kind that were removed, and then those that are new or differ.
 *
 * @param current the items of this kind by name; undefined for one that was removed before
 * @param createItem creates the item of a name; without a value, the item stands for its removal
 */
function writeChanged<Name extends string, Value extends { readonly name: Name }> (
  config: Config, version: number, current: ReadonlyArray<readonly [Name, Value | undefined]>, next: readonly Value[], createItem: (name: Name, value: Value | undefined) => ConfigItem
): void {
  const nextNames = new Set(next.map(({ name }) => name))
  const removed = current.filter(([name, value]) => value !== undefined && !nextNames.has(name))
  const currentValues = new Map(current)
  const changed = next.filter(value => !isEqual(currentValues.get(value.name), value))
  setItems(config, version, [...removed.map(([name]) => createItem(name, undefined)), ...changed.map(value => createItem(value.name, value))])
}

/** Whether two values of JSON are equal. Compares without creating texts: a change of all routes compares each of them. */
function isEqual (one: unknown, other: unknown): boolean {
  // An update keeps the objects of all items that it doesn't name.
  if (one === other) return true
  if (typeof one !== 'object' || typeof other !== 'object' || one === null || other === null || Array.isArray(one) !== Array.isArray(other)) return false
  const [fields, otherFields] = [one as Record<string, unknown>, other as Record<string, unknown>]
  // A field without a value is left out when the state is stored, and comes back as a missing one.
  for (const name in fields) if (!isEqual(fields[name], otherFields[name])) return false
  for (const name in otherFields) if (otherFields[name] !== undefined && fields[name] === undefined) return false
  return true
}

function evacuate (config: Config, command: EvacuateCommand, version: number): ChangeAnswer {
  const { failureDomain, isActive, baseVersion } = command
  const current = findItem(config, 'evacuation', failureDomain)
  if ((current?.isActive ?? false) === isActive) return accept(config)
  const changedAt = getItemVersion(config, 'evacuation', failureDomain)
  // A command that was delayed at a paused or disconnected VM must not undo a later change that has been confirmed.
  if (baseVersion !== undefined && changedAt > baseVersion) {
    return reject('versionConflict', `failure domain '${failureDomain}' changed at version ${changedAt}, after base version ${baseVersion}`)
  }
  setItem(config, version, { kind: 'evacuation', key: failureDomain, isActive })
  return accept(config)
}

function announce (config: Config, facts: BackendAnnouncement, version: number): ChangeAnswer {
  const current = findItem(config, 'backend', facts.id)
  if (!acceptsAnnouncement(config, facts, current)) return accept(config)
  for (const other of listOthersAtAddress(config, facts)) setBackendState(config, other, 'gone', version)
  // Draining is final for an incarnation, but doesn't apply to the next incarnation under the same id.
  const isDraining = facts.isDraining || (current?.state === 'draining' && !isLaterIncarnation(facts, current))
  const item: BackendItem = { kind: 'backend', key: facts.id, facts, state: isDraining ? 'draining' : 'serving' }
  setItem(config, version, item)
  return accept(config)
}

/**
 * Whether an announcement describes the current incarnation of a backend server and may therefore be applied.
 *
 * Announcements may arrive late, and processes other than backend servers may send them. A late announcement of an
 * earlier incarnation could undo what the current one announced, revive a server that has ended or take the address from
 * its successor; so could an announcement for a service that is not configured. A server that answers would then get no
 * requests, or requests would go to a server that has ended.
 */
export function acceptsAnnouncement (config: Config, facts: BackendAnnouncement, current = findItem(config, 'backend', facts.id)): boolean {
  if (!isKnownService(config, facts.service) && !isSameServer(facts, current)) return false
  if (listOthersAtAddress(config, facts).some(other => other.state !== 'lost' && isEarlierIncarnation(facts, other))) return false
  if (current === undefined || isLaterIncarnation(facts, current)) return true
  if (current.state === 'gone') return false
  // A server's clock may be set back between two starts. An earlier start time is therefore accepted once the known
  // incarnation is lost.
  if (isEarlierIncarnation(facts, current)) return current.state === 'lost'
  return facts.seq >= current.facts.seq
}

/**
 * Whether a service is configured. Servers may start before the first routes are set; until then, every service counts as
 * configured.
 */
function isKnownService (config: Config, service: ServiceId): boolean {
  return getRoutesVersion(config) === 0 || findItem(config, 'upstream', service)?.upstream !== undefined
}

/**
 * Whether an announcement comes from a known server. While its service is left out of the configuration, the server may begin to drain,
 * and must not get requests once the service is back.
 */
function isSameServer (facts: BackendAnnouncement, current: BackendItem | undefined): boolean {
  return current !== undefined && current.facts.service === facts.service && current.facts.address === facts.address
}

/** Returns the other servers at the same address that have not ended. */
function listOthersAtAddress (config: Config, facts: BackendAnnouncement): BackendItem[] {
  return listItems(config, 'backend').filter(other => other.key !== facts.id && other.facts.address === facts.address && other.state !== 'gone')
}

/** Whether an announcement is from a later incarnation than the known one; false if the known start time is missing. */
function isLaterIncarnation (facts: BackendAnnouncement, current: BackendItem): boolean {
  return facts.bornAt > current.facts.bornAt && current.facts.bornAt > 0
}

function isEarlierIncarnation (facts: BackendAnnouncement, current: BackendItem): boolean {
  return facts.bornAt > 0 && facts.bornAt < current.facts.bornAt
}

function setBackendState (config: Config, item: BackendItem, state: BackendState, version: number): void {
  setItem(config, version, { ...item, state })
}

function setBackendStates (config: Config, command: DismissCommand | MissCommand, state: BackendState, version: number): ChangeAnswer {
  const changed: BackendItem[] = []
  for (const id of new Set(command.ids)) {
    const current = findItem(config, 'backend', id)
    if (current === undefined || current.state === 'gone' || current.state === state) continue
    // The end of an earlier incarnation, possibly reported late, doesn't end the current one.
    if (command.type === 'dismiss' && command.bornAt !== undefined && command.bornAt < current.facts.bornAt) continue
    const isEndOfDrain = state === 'lost' && current.state === 'draining'
    changed.push({ ...current, state: isEndOfDrain ? 'gone' : state })
  }
  setItems(config, version, changed)
  return accept(config)
}

/**
 * Whether an announcement says that a server drains, by a start time before that of the incarnation that is known to serve under its id. It
 * is late, or comes from a later incarnation whose clock was set back: requests may go on to the server, so that its drain can't be confirmed.
 */
export function isUnconfirmableDrain (config: Config, facts: BackendAnnouncement): boolean {
  const current = findItem(config, 'backend', facts.id)
  return facts.isDraining && current?.state === 'serving' && isEarlierIncarnation(facts, current) && !acceptsAnnouncement(config, facts, current)
}

/** Whether an announcement changes the configuration by more than its sequence number and remaining cold time. */
export function hasBackendChanged (config: Config, facts: BackendAnnouncement): boolean {
  const current = findItem(config, 'backend', facts.id)
  if (!acceptsAnnouncement(config, facts, current)) return false
  if (current === undefined || current.state === 'lost' || isLaterIncarnation(facts, current)) return true
  if (facts.isDraining !== (current.state === 'draining')) return facts.isDraining
  const { service, address, failureDomain, slots, software } = current.facts
  const isRedefined = service !== facts.service || address !== facts.address || failureDomain !== facts.failureDomain || software !== facts.software
  return isRedefined || slots !== facts.slots || (facts.coldMs > 0) !== (current.facts.coldMs > 0)
}

/** Returns the ids of the servers that are serving or draining. */
export function listPresentBackends (config: Config): ServerId[] {
  return listItems(config, 'backend').filter(item => item.state === 'serving' || item.state === 'draining').map(item => item.key)
}

/** Limits for callers that apply before the first routes are set. */
export const defaultCallerLimits: CallerLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 5000, idleTimeoutMs: 15_000 }
