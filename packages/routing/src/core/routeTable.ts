/** Matches requests to routes and selects a service among the parts of a weighted split. */
import { getRouteServices } from '@lynxcourse/state'
import type { Route } from '@lynxcourse/state'
import type { ServiceId } from '@lynxcourse/base'

/** Routes by host in lower case, ordered by descending length of the path prefix. */
export type RouteTable = ReadonlyMap<string, readonly Route[]>

export function buildRouteTable (routes: readonly Route[]): RouteTable {
  const table = new Map<string, Route[]>()
  for (const route of routes) {
    const host = route.host.toLowerCase()
    const group = table.get(host)
    if (group === undefined) table.set(host, [route])
    else group.push(route)
  }
  for (const group of table.values()) group.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  return table
}

/** Returns the route of the host whose path prefix is the longest match. */
export function matchRoute (table: RouteTable, host: string, path: string): Route | undefined {
  const name = normalizeHost(host)
  return table.get(name)?.find(route => path.startsWith(route.pathPrefix))
}

/** Returns a `Host` header without its port, in lower case. */
function normalizeHost (host: string): string {
  const colon = host.lastIndexOf(':')
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase()
}

/** State of the weighted round-robin by route name. `key` identifies the weights that the credits belong to. */
export type SplitStates = Map<string, { key: string, credits: number[] }>

/**
 * Selects the service of a request by smooth weighted round-robin. Over any sequence of requests each part receives its
 * proportion to within about one request, whereas random selection deviates by tens of percent on short sequences.
 */
export function selectService (picker: SplitStates, route: Route): ServiceId {
  const parts = getRouteServices(route)
  const only = parts.length === 1 ? parts[0] : undefined
  if (only !== undefined) return only.service
  const key = parts.map(part => `${part.service}=${part.weight}`).join()
  let state = picker.get(route.name)
  if (state === undefined || state.key !== key) {
    state = { key, credits: parts.map(() => 0) }
    picker.set(route.name, state)
  }
  return selectByCredits(parts, state.credits)
}

function selectByCredits (parts: Route['split'], credits: number[]): ServiceId {
  let best = 0
  let total = 0
  parts.forEach((part, index) => {
    credits[index] = (credits[index] ?? 0) + part.weight
    total += part.weight
    if ((credits[index] as number) > (credits[best] as number)) best = index
  })
  credits[best] = (credits[best] as number) - total
  return (parts[best] as Route['split'][number]).service
}
