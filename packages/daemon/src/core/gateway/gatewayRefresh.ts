/** Keeps the gateway's routes and servers up to date with the VM's copy of the state. */
import type { Millis, ServiceId } from '@lynxcourse/base'
import { createFleetServer, forgetServer, groupServersByService, applyWeights } from '@lynxcourse/placement'
import type { Fleet, FleetServer, ServerFacts } from '@lynxcourse/placement'
import { buildRouteTable } from '@lynxcourse/routing'
import { listItems, findRouteSet } from '@lynxcourse/state'
import type { BackendItem, Config, RouteSet } from '@lynxcourse/state'
import type { FleetNode } from '../fleet/fleetNode.js'
import type { Gateway } from './gateway.js'

/** A server whose failure domain takes work again may have become cold while it had none. */
const defaultWarmupMs = 3000

/** Takes the present state over. */
export function refreshGateway (gateway: Gateway, now: Millis): void {
  const { node, fleet } = gateway
  const set = findRouteSet(node.config)
  gateway.routeTable = buildRouteTable(set?.routes ?? [])
  if (set !== undefined) {
    gateway.limits = set.limits
    for (const upstream of set.upstreams) fleet.coldRequestRates.set(upstream.name, upstream.warmupPerSecond)
  }
  fleet.vms = node.entryNames
  refreshServers(fleet, node, set, now)
}

function refreshServers (fleet: Fleet, node: FleetNode, set: RouteSet | undefined, now: Millis): void {
  const warmups = new Map<ServiceId, Millis>(set?.upstreams.map(upstream => [upstream.name, upstream.warmupMs]))
  const evacuated = evacuatedDomains(node.config)
  const present = new Set<string>()
  for (const item of listItems(node.config, 'backend')) {
    if (item.state === 'gone') continue
    present.add(item.key)
    refreshServer(fleet, node, item, evacuated.has(item.facts.failureDomain), warmups, now)
  }
  for (const id of fleet.byId.keys()) {
    if (present.has(id)) continue
    fleet.byId.delete(id)
    forgetServer(fleet.warmObjects, id)
  }
  groupServersByService(fleet)
  applyWeights(fleet, node.loadUpdate.weights)
}

/** The least time to open a connection counts, and creeps up by this part with each, so that a longer way shows. */
const travelCreep = 1.01

/** Learns the way to a region from how long a connection to one of its servers took to open. */
export function recordConnectTime (gateway: Gateway, address: string, tookMs: Millis): void {
  const { fleet } = gateway
  const region = [...fleet.byId.values()].find(server => server.facts.address === address)?.facts.region
  if (region === undefined) return
  const held = fleet.roundTripTimes.get(region)
  fleet.roundTripTimes.set(region, held === undefined ? tookMs : Math.min(tookMs, held * travelCreep))
}

function evacuatedDomains (config: Config): Set<string> {
  return new Set(listItems(config, 'evacuation').filter(item => item.isActive).map(item => item.key))
}

function refreshServer (fleet: Fleet, node: FleetNode, item: BackendItem, isEvacuated: boolean, warmups: ReadonlyMap<ServiceId, Millis>, now: Millis): void {
  const { facts, key } = item
  const warmupMs = warmups.get(facts.service) ?? defaultWarmupMs
  const next: ServerFacts = {
    id: key,
    service: facts.service,
    address: facts.address,
    failureDomain: facts.failureDomain,
    region: node.cfg.regions.get(facts.failureDomain) ?? node.cfg.region,
    bornAt: facts.bornAt,
    slots: Math.max(1, facts.slots),
    isClosed: item.state !== 'serving' || isEvacuated
  }
  const known = fleet.byId.get(key)
  // A server that started again under its id holds nothing of before: what was learned of its former start is wrong.
  const isNextStart = known !== undefined && known.facts.bornAt !== facts.bornAt
  if (isNextStart) forgetServer(fleet.warmObjects, key)
  const held = isNextStart ? undefined : known
  if (held === undefined) {
    // A server tells how long it stays cold; one that says nothing is warm. A VM that started anew and took all
    // servers for cold would refuse nearly all requests for the length of a warm-up.
    fleet.byId.set(key, createFleetServer(next, facts.coldMs > 0 ? now + facts.coldMs : -Infinity))
    return
  }
  const isBack = held.facts.isClosed && !next.isClosed
  const turnedCold = facts.coldMs > 0 && held.coldUntil < now
  if (isBack || turnedCold) makeCold(fleet, held, now + Math.max(warmupMs, facts.coldMs))
  held.facts = next
}

function makeCold (fleet: Fleet, server: FleetServer, until: Millis): void {
  server.coldUntil = until
  server.consecutiveFailures = 0
  forgetServer(fleet.warmObjects, server.facts.id)
}
