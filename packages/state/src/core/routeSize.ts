/** Estimates the size of routes, services and teams, which bounds the memory that a configuration takes. */
import type { Annotations, ReplaceRoutesCommand, Route, RouteSet, Team, UpdateRoutesCommand, Upstream } from '../types/routes.js'

/** Size of a route, service or team without its texts, and of an entry of one of its lists, in bytes of JSON text. */
const itemBytes = 200
const listEntryBytes = 30

function measureTexts (texts: readonly string[]): number {
  return texts.reduce((sum, text) => sum + text.length + listEntryBytes, 0)
}

function measureAnnotations (annotations: Annotations): number {
  return Object.keys(annotations).length === 0 ? 0 : JSON.stringify(annotations).length
}

function measureRoute ({ name, host, pathPrefix, service, split, homes, annotations }: Route): number {
  const texts = name.length + host.length + pathPrefix.length + (service?.length ?? 0)
  return itemBytes + texts + measureTexts(split.map(entry => entry.service)) + measureTexts(homes) + measureAnnotations(annotations)
}

function measureUpstream ({ name, healthPath, annotations }: Upstream): number {
  return itemBytes + name.length + healthPath.length + measureAnnotations(annotations)
}

function measureTeam ({ name, keys, homes, annotations }: Team): number {
  return itemBytes + name.length + measureTexts(keys) + measureTexts(homes) + measureAnnotations(annotations)
}

function sum<Item> (items: readonly Item[], measure: (item: Item) => number): number {
  return items.reduce((total, item) => total + measure(item), 0)
}

/** Returns the estimated size of a whole configuration, in bytes of JSON text. */
export function measureRouteSet ({ routes, upstreams, teams = [] }: RouteSet): number {
  return sum(routes, measureRoute) + sum(upstreams, measureUpstream) + sum(teams, measureTeam)
}

/** Returns the estimated size of a change, in bytes of JSON text. */
export function measureRouteChange (command: ReplaceRoutesCommand | UpdateRoutesCommand): number {
  if (command.type === 'replaceRoutes') return measureRouteSet(command.set)
  const { putRoutes, putUpstreams, putTeams = [], removeRoutes, removeUpstreams, removeTeams = [] } = command
  return sum(putRoutes, measureRoute) + sum(putUpstreams, measureUpstream) + sum(putTeams, measureTeam) + measureTexts([...removeRoutes, ...removeUpstreams, ...removeTeams])
}
