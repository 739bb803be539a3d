/** Finds the route of a request, and the service among the parts of a weighted split. */
import { getRouteServices } from '@lynxcourse/state'
import type { Route } from '@lynxcourse/state'
import type { ServiceId } from '@lynxcourse/base'

/** Routes by host, the longest prefix first. */
export type RouteTable = ReadonlyMap<string, readonly Route[]>

export function buildRouteTable (routes: readonly Route[]): RouteTable {
  const table = new Map<string, Route[]>()
  for (const route of routes) {
    const group = table.get(route.host)
    if (group === undefined) table.set(route.host, [route])
    else group.push(route)
  }
  for (const group of table.values()) group.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  return table
}

/** The route with the longest prefix that begins the path. */
export function matchRoute (table: RouteTable, host: string, path: string): Route | undefined {
  const name = hostName(host)
  return table.get(name)?.find(route => path.startsWith(route.pathPrefix))
}

/** A `Host` header without its port, in lower case. */
function hostName (host: string): string {
  const colon = host.lastIndexOf(':')
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase()
}

/** How far each route's split has got. */
export type SplitStates = Map<string, { key: string, credits: number[] }>

/**
 * Picks the service of a request by smooth weighted round-robin: over any stretch each part gets its
 * share to within one request, where drawing at random would stray by tens of percent on short ones.
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
  return takeTurn(parts, state.credits)
}

function takeTurn (parts: Route['split'], credits: number[]): ServiceId {
  let best = 0
  let total = 0
  parts.forEach((part, place) => {
    credits[place] = (credits[place] ?? 0) + part.weight
    total += part.weight
    if ((credits[place] as number) > (credits[best] as number)) best = place
  })
  credits[best] = (credits[best] as number) - total
  return (parts[best] as Route['split'][number]).service
}
