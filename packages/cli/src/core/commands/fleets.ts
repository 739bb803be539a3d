/** Commands for a fleet: `fleet routes`, `fleet match`, `fleet teams`, `fleet restricted`, `fleet release`, `fleet limited`, `fleet notices`, `fleet rollouts`, `fleet vms`. */
import type { Command } from 'commander'
import { LynxError } from '@lynxcourse/base'
import { callPeer } from '@lynxcourse/daemon'
import type { AgedEntry, FleetSummary, NoticeSummary, TeamSummary } from '@lynxcourse/daemon'
import { buildRouteTable, matchRoute } from '@lynxcourse/routing'
import { getRouteServices } from '@lynxcourse/state'
import type { ChangeAnswer, CrashingRequestItem, Route } from '@lynxcourse/state'
import { exitCodes } from '../../utils/exitCodes.js'
import { printRecord, printRows } from '../../utils/printing.js'
import type { Row } from '../../utils/printing.js'
import { callAnyVm } from '../session.js'
import type { Session } from '../session.js'
import { createAction } from './action.js'
import { addRolloutCommands } from './rollouts.js'

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
export function explainMatch (result: Pick<FleetSummary, 'routesVersion' | 'set'>, host: string, path: string): Row {
  const routes = result.set?.routes ?? []
  const chosen = matchRoute(buildRouteTable(routes), host, path)
  if (chosen === undefined) throw new LynxError('notFound', `no route for ${host}${path} in version ${result.routesVersion}`, { step: 'match' })
  const lessSpecific = routes.filter(route => route !== chosen && route.host === chosen.host && path.startsWith(route.pathPrefix))
  return { version: result.routesVersion, ...createRouteRow(chosen), passedOver: lessSpecific.map(route => `${route.name} ${route.pathPrefix}`) }
}

/** Creates the output row of a team; it shows how many keys the team has, and no key. */
export function createTeamRow ({ name, rank, ratePerSecond, burst, homes, keyCount }: TeamSummary): Row {
  const isLimited = ratePerSecond > 0
  return { name, keys: keyCount, rank, ratePerSecond: isLimited ? ratePerSecond : undefined, burst: isLimited ? burst : undefined, homes: homes.join() }
}

/** Creates the output row of a restricted request. */
export function createRestrictionRow ({ key, route, state, blockedUntil, failedTrials, servers }: CrashingRequestItem): Row {
  return { request: key, route, state, blockedUntil: blockedUntil === 0 ? undefined : new Date(blockedUntil).toISOString(), failedTrials, servers: servers.join() }
}

/** Creates the output row of a server that names a limit, with the shares of the VMs in percent. */
export function createLimitRow ({ server, perSecond, shares }: FleetSummary['limits'][number]): Row {
  return { server, perSecond: perSecond ?? undefined, shares: shares.map(([vm, share]) => `${vm}=${Math.round(share * 100)}%`).join() }
}

/** Creates the output row of what a server has said to one entry VM. */
export function createNoticeRow (vm: string, { server, service, perSecond, share, pausedMs, isLeaving }: NoticeSummary): Row {
  return { vm, server, service, perSecond: perSecond ?? undefined, share: share === null ? undefined : `${Math.round(share * 100)}%`, pausedMs: pausedMs || undefined, leaving: isLeaving || undefined }
}

/** Creates the output row of an entry VM, with its capacity and its utilization in percent if they are known. */
export function createVmRow ({ presence: { name, region, failureDomain, isReady, resources }, ageMs }: AgedEntry): Row {
  const formatUse = (use: number | undefined): string | undefined => use === undefined ? undefined : `${Math.round(use * 100)}%`
  return { name, region, failureDomain, ready: isReady, cores: resources?.cores, linkMbps: resources?.linkMbps, cpu: formatUse(resources?.cpuUse), link: formatUse(resources?.linkUse), ageMs: Math.round(ageMs) }
}

/** Reads the notices of one entry VM; an address that can't answer gets a row with the error. */
async function readNotices (session: Session, address: string): Promise<Row[]> {
  try {
    const { vm, notices } = await callPeer<{ vm: string, notices: NoticeSummary[] }>(session.client, address, 'fleet.notices', {})
    return notices.map(notice => createNoticeRow(vm, notice))
  } catch (err) {
    return [{ vm: address, error: (err as Error).message }]
  }
}

/** Adds the commands of `lynxcourse fleet`. */
export function addFleetCommands (program: Command): void {
  const fleet = program.command('fleet').description('routes, teams, restricted requests and limited servers of a fleet, read from its control VMs')
  fleet.command('routes').description('list routes').action(createAction(async session => {
    const result = await callAnyVm<FleetSummary>(session, 'fleet.read')
    const columns = ['name', 'host', 'pathPrefix', 'services', 'idempotent', 'rank', 'aimMs', 'timeoutMs', 'maxAttempts', 'homes']
    printRows(session.output, (result.set?.routes ?? []).map(createRouteRow), columns)
    return exitCodes.ok
  }))
  fleet.command('match <host> <path>').description('show the route that matches a request, and the less specific routes').action(createAction(async (session, [host, path]) => {
    const result = await callAnyVm<FleetSummary>(session, 'fleet.read')
    printRecord(session.output, explainMatch(result, host ?? '', path ?? ''))
    return exitCodes.ok
  }))
  fleet.command('teams').description('list teams with their limits, without their keys').action(createAction(async session => {
    const { teams } = await callAnyVm<FleetSummary>(session, 'fleet.read')
    printRows(session.output, (teams ?? []).map(createTeamRow), ['name', 'keys', 'rank', 'ratePerSecond', 'burst', 'homes'])
    return exitCodes.ok
  }))
  fleet.command('restricted').description('list the requests under which servers ended').action(createAction(async session => {
    const result = await callAnyVm<FleetSummary>(session, 'fleet.read')
    printRows(session.output, result.restricted.map(createRestrictionRow), ['request', 'route', 'state', 'blockedUntil', 'failedTrials', 'servers'])
    return exitCodes.ok
  }))
  fleet.command('limited').description('list the servers that name a limit for the requests of all VMs together, with the VMs\' shares').action(createAction(async session => {
    const { limits } = await callAnyVm<FleetSummary>(session, 'fleet.read')
    printRows(session.output, limits.filter(({ perSecond }) => perSecond !== null).map(createLimitRow), ['server', 'perSecond', 'shares'])
    return exitCodes.ok
  }))
  fleet.command('notices').description('list what servers have said about themselves to the entry VMs at the given addresses: limits, pauses, leaving').action(createAction(async session => {
    const rows = (await Promise.all(session.addresses.map(async address => await readNotices(session, address)))).flat()
    printRows(session.output, rows, ['vm', 'server', 'service', 'perSecond', 'share', 'pausedMs', 'leaving', 'error'])
    return rows.some(row => row['error'] !== undefined) ? exitCodes.failed : exitCodes.ok
  }))
  fleet.command('vms').description('list the entry VMs that a control VM has seen lately, with their capacity and utilization').action(createAction(async session => {
    const entries = await callAnyVm<AgedEntry[]>(session, 'fleet.listEntries')
    printRows(session.output, entries.map(createVmRow), ['name', 'region', 'failureDomain', 'ready', 'cores', 'linkMbps', 'cpu', 'link', 'ageMs'])
    return exitCodes.ok
  }))
  addRolloutCommands(fleet)
  fleet.command('release <request>').description('let a restricted request be sent again').action(createAction(async (session, [request]) => {
    const answer = await callAnyVm<ChangeAnswer>(session, 'fleet.submit', { command: { type: 'releaseRequest', request } })
    if (!answer.ok) throw new LynxError('notFound', answer.detail, { step: 'release', field: 'request' })
    printRecord(session.output, { request, version: answer.version })
    return exitCodes.ok
  }))
}
