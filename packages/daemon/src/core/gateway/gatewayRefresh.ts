/** Updates the gateway's routes and servers from the VM's copy of the state. */
import type { Millis, ServiceId } from '@lynxcourse/base'
import { getNotice, pruneNotices } from '@lynxcourse/limits'
import { applyVersions, createFleetServer, forgetServer, groupServersByService, applyLimits, applyWeights } from '@lynxcourse/placement'
import type { Fleet, FleetServer, ServerFacts } from '@lynxcourse/placement'
import { listItems, findRouteSet } from '@lynxcourse/state'
import type { BackendItem, Config, RouteSet, SoftwareVersion } from '@lynxcourse/state'
import { refreshRestrictions } from '../crashes/crashWatch.js'
import type { FleetNode } from '../fleet/fleetNode.js'
import type { Gateway } from './gateway.js'
import { logTargetUse } from './requestLog.js'
import { refreshTables } from './gatewayTables.js'
import { logPublishedLimits } from './serverNotices.js'
import { pruneTeamPermits } from './teamPermits.js'

/** Warm-up time for a server that may have become cold while its failure domain received no requests. */
const defaultWarmupMs = 3000

/** Applies the current state to the gateway. */
export function refreshGateway (gateway: Gateway, now: Millis): void {
  const { node, fleet } = gateway
  const routeSet = findRouteSet(node.config)
  refreshTables(gateway, routeSet)
  pruneTeamPermits(gateway.permits, team => gateway.teams.limited.has(team))
  if (routeSet !== undefined) {
    gateway.limits = routeSet.limits
    for (const { name, warmupPerSecond, maxConnections } of routeSet.upstreams) {
      fleet.coldRequestRates.set(name, warmupPerSecond)
      fleet.maxConnections.set(name, maxConnections)
    }
  }
  refreshRestrictions(gateway.crashes, node.config)
  refreshServers(fleet, node, routeSet, now)
  logTargetUse(gateway)
  logPublishedLimits(gateway, applyLimits(fleet, node.loadUpdate.limits ?? [], now))
}

function refreshServers (fleet: Fleet, node: FleetNode, routeSet: RouteSet | undefined, now: Millis): void {
  const warmupTimes = new Map<ServiceId, Millis>(routeSet?.upstreams.map(upstream => [upstream.name, upstream.warmupMs]))
  const evacuatedDomains = getEvacuatedDomains(node.config)
  const presentIds = new Set<string>()
  for (const item of listItems(node.config, 'backend')) {
    if (item.state === 'gone') continue
    presentIds.add(item.key)
    refreshServer(fleet, node, item, evacuatedDomains.has(item.facts.failureDomain), warmupTimes, now)
  }
  for (const [id, server] of fleet.byId) {
    if (presentIds.has(id)) continue
    closeByVersion(node, server)
    fleet.byId.delete(id)
    forgetServer(fleet.warmObjects, id)
  }
  pruneNotices(fleet.notices, now)
  groupServersByService(fleet)
  const { rollouts: bounds } = node.cfg
  const items = bounds === undefined ? { versions: [], rollouts: [] } : { versions: listItems(node.config, 'serviceVersion'), rollouts: listItems(node.config, 'rollout') }
  applyVersions(fleet, items, bounds, now)
  applyWeights(fleet, node.loadUpdate.weights)
}

/** The minimum connect time grows by this factor with each connection, so that it adapts to a longer network path. */
const minConnectTimeGrowth = 1.01

/** Updates the round-trip time to a server's region by the time that opening a connection to the server took. */
export function recordConnectTime (gateway: Gateway, address: string, connectMs: Millis): void {
  const { fleet } = gateway
  const region = [...fleet.byId.values()].find(server => server.facts.address === address)?.facts.region
  if (region === undefined) return
  const roundTripMs = fleet.roundTripTimes.get(region)
  fleet.roundTripTimes.set(region, roundTripMs === undefined ? connectMs : Math.min(connectMs, roundTripMs * minConnectTimeGrowth))
}

/** Withdraws requests that were placed at a server and not written yet: another version may have taken over its address. */
function closeByVersion ({ cfg }: FleetNode, server: FleetServer): void {
  if (cfg.rollouts !== undefined) server.role = 'unused'
}

function getEvacuatedDomains (config: Config): Set<string> {
  return new Set(listItems(config, 'evacuation').filter(item => item.isActive).map(item => item.key))
}

function refreshServer (fleet: Fleet, node: FleetNode, item: BackendItem, isEvacuated: boolean, warmupTimes: ReadonlyMap<ServiceId, Millis>, now: Millis): void {
  const { facts, key } = item
  const warmupMs = warmupTimes.get(facts.service) ?? defaultWarmupMs
  const newFacts: ServerFacts = {
    id: key,
    service: facts.service,
    address: facts.address,
    failureDomain: facts.failureDomain,
    region: node.cfg.regions.get(facts.failureDomain) ?? node.cfg.region,
    bornAt: facts.bornAt,
    slots: Math.max(1, facts.slots),
    isClosed: item.state !== 'serving' || isEvacuated,
    ...(node.cfg.rollouts === undefined ? {} : { software: facts.software as SoftwareVersion })
  }
  const known = fleet.byId.get(key)
  // A server that restarted under its id has lost its caches, and what was learned about the previous process doesn't
  // apply.
  const hasRestarted = known !== undefined && known.facts.bornAt !== facts.bornAt
  if (hasRestarted) {
    forgetServer(fleet.warmObjects, key)
    if (known.facts.software !== newFacts.software) closeByVersion(node, known)
  }
  const current = hasRestarted ? undefined : known
  const notice = getNotice(fleet.notices, key, facts.bornAt, now)
  if (current === undefined) {
    // A server announces how long it stays cold; without an announced time it counts as warm. If a VM that has just
    // started counted all servers as cold, it would refuse nearly all requests for the length of a warm-up.
    fleet.byId.set(key, createFleetServer(newFacts, facts.coldMs > 0 ? now + facts.coldMs : -Infinity, notice))
    return
  }
  const hasReopened = current.facts.isClosed && !newFacts.isClosed
  const hasBecomeCold = facts.coldMs > 0 && current.coldUntil < now
  if (hasReopened || hasBecomeCold) markCold(fleet, current, now + Math.max(warmupMs, facts.coldMs))
  current.facts = newFacts
}

function markCold (fleet: Fleet, server: FleetServer, until: Millis): void {
  server.coldUntil = until
  server.consecutiveFailures = 0
  forgetServer(fleet.warmObjects, server.facts.id)
}
