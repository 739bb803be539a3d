/** Commands that show a fleet's routes: `fleet routes`, `fleet match`. */
import type { Command } from 'commander'
import { LynxError } from '@lynxcourse/base'
import type { RoutesReadResult } from '@lynxcourse/daemon'
import { buildRouteTable, matchRoute } from '@lynxcourse/routing'
import { getRouteServices } from '@lynxcourse/state'
import type { Route } from '@lynxcourse/state'
import { exitCodes } from '../../utils/exitCodes.js'
import { printOne, printRows } from '../../utils/printing.js'
import type { Row } from '../../utils/printing.js'
import { call } from '../session.js'
import { action } from './action.js'

/** Services of a route with their shares in percent. */
function sharesOf (route: Route): string {
  const parts = getRouteServices(route)
  const total = parts.reduce((sum, part) => sum + part.weight, 0)
  return parts.map(part => `${part.service}=${Math.round(part.weight / total * 100)}%`).join(',')
}

/** A route as a row of output. */
export function routeRow (route: Route): Row {
  const { name, host, pathPrefix, isIdempotent, rank, aimMs, timeoutMs, maxAttempts, homes } = route
  return { name, host, pathPrefix, services: sharesOf(route), idempotent: isIdempotent, rank, aimMs, timeoutMs, maxAttempts, homes: homes.join() }
}

/**
 * The route that a request would take, and those of its host that fit less well.
 *
 * @throws LynxError `notFound` when no route fits
 */
export function explainMatch (read: RoutesReadResult, host: string, path: string): Row {
  const routes = read.set?.routes ?? []
  const chosen = matchRoute(buildRouteTable(routes), host, path)
  if (chosen === undefined) throw new LynxError('notFound', `no route for ${host}${path} in version ${read.routesVersion}`, { step: 'match' })
  const passedOver = routes.filter(route => route !== chosen && route.host === chosen.host && path.startsWith(route.pathPrefix))
  return { version: read.routesVersion, ...routeRow(chosen), passedOver: passedOver.map(route => `${route.name} ${route.pathPrefix}`) }
}

/** Adds the commands. */
export function addFleetCommands (program: Command): void {
  const fleet = program.command('fleet').description('routes of a fleet, read through a quorum of its control VMs')
  fleet.command('routes').description('list routes').action(action(async session => {
    const read = await call<RoutesReadResult>(session, 'fleet.read')
    const columns = ['name', 'host', 'pathPrefix', 'services', 'idempotent', 'rank', 'aimMs', 'timeoutMs', 'maxAttempts', 'homes']
    printRows(session.output, (read.set?.routes ?? []).map(routeRow), columns)
    return exitCodes.ok
  }))
  fleet.command('match <host> <path>').description('show which route a request would take, and what fits less well').action(action(async (session, [host, path]) => {
    const read = await call<RoutesReadResult>(session, 'fleet.read')
    printOne(session.output, explainMatch(read, host ?? '', path ?? ''))
    return exitCodes.ok
  }))
}
