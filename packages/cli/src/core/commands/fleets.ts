/** Commands that show a fleet's routes: `fleet routes`, `fleet match`. */
import type { Command } from 'commander'
import { LynxError } from '@lynxcourse/base'
import type { RoutesReadResult } from '@lynxcourse/daemon'
import { buildRouteTable, matchRoute } from '@lynxcourse/routing'
import { getRouteServices } from '@lynxcourse/state'
import type { Route } from '@lynxcourse/state'
import { exitCodes } from '../../utils/exitCodes.js'
import { printRecord, printRows } from '../../utils/printing.js'
import type { Row } from '../../utils/printing.js'
import { callAnyVm } from '../session.js'
import { createAction } from './action.js'

/** Formats the services of a route with their shares in percent. */
function formatShares (route: Route): string {
  const services = getRouteServices(route)
  const total = services.reduce((sum, entry) => sum + entry.weight, 0)
  return services.map(entry => `${entry.service}=${Math.round(entry.weight / total * 100)}%`).join(',')
}

/** Creates the output row of a route. */
export function createRouteRow (route: Route): Row {
  const { name, host, pathPrefix, isIdempotent, rank, aimMs, timeoutMs, maxAttempts, homes } = route
  return { name, host, pathPrefix, services: formatShares(route), idempotent: isIdempotent, rank, aimMs, timeoutMs, maxAttempts, homes: homes.join() }
}

/**
 * Returns the route that matches a request, and the less specific routes of the same host that match too.
 *
 * @throws LynxError `notFound` if no route matches
 */
export function explainMatch (result: RoutesReadResult, host: string, path: string): Row {
  const routes = result.set?.routes ?? []
  const chosen = matchRoute(buildRouteTable(routes), host, path)
  if (chosen === undefined) throw new LynxError('notFound', `no route for ${host}${path} in version ${result.routesVersion}`, { step: 'match' })
  const lessSpecific = routes.filter(route => route !== chosen && route.host === chosen.host && path.startsWith(route.pathPrefix))
  return { version: result.routesVersion, ...createRouteRow(chosen), passedOver: lessSpecific.map(route => `${route.name} ${route.pathPrefix}`) }
}

/** Adds the commands of `lynxcourse fleet`. */
export function addFleetCommands (program: Command): void {
  const fleet = program.command('fleet').description('routes of a fleet, read from a quorum of its control VMs')
  fleet.command('routes').description('list routes').action(createAction(async session => {
    const result = await callAnyVm<RoutesReadResult>(session, 'fleet.read')
    const columns = ['name', 'host', 'pathPrefix', 'services', 'idempotent', 'rank', 'aimMs', 'timeoutMs', 'maxAttempts', 'homes']
    printRows(session.output, (result.set?.routes ?? []).map(createRouteRow), columns)
    return exitCodes.ok
  }))
  fleet.command('match <host> <path>').description('show the route that matches a request, and the less specific routes').action(createAction(async (session, [host, path]) => {
    const result = await callAnyVm<RoutesReadResult>(session, 'fleet.read')
    printRecord(session.output, explainMatch(result, host ?? '', path ?? ''))
    return exitCodes.ok
  }))
}
