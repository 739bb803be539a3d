/** Assigns each server its role by its software version, whenever the state of the fleet changes. */
import type { FailureDomainId, Millis, ServiceId } from '@lynxcourse/base'
import type { RolloutBounds } from '@lynxcourse/rollouts'
import { isRunningRollout } from '@lynxcourse/state'
import type { RolloutItem, ServiceVersionItem, SoftwareVersion } from '@lynxcourse/state'
import type { Fleet } from '../request/fleet.js'
import type { FleetServer } from '../server/fleetServer.js'
import { assignTargetRoles, createActiveRollout, recordUseChange, updateTargetUse } from './activeRollouts.js'
import type { ActiveRollout, ActiveRollouts } from './activeRollouts.js'

/** The versions in force and the latest rollout of each service. */
export interface VersionItems {
  readonly versions: readonly ServiceVersionItem[]
  readonly rollouts: readonly RolloutItem[]
}

/**
 * Applies the versions in force and the rollouts to the servers. Must be called after the servers were grouped by service.
 *
 * @param bounds undefined if this fleet doesn't tell versions of servers apart
 */
export function applyVersions (fleet: Fleet, { versions, rollouts }: VersionItems, bounds: RolloutBounds | undefined, now: Millis): void {
  const active = fleet.rollouts
  const wasGated = active.bounds !== undefined
  active.bounds = bounds
  if (bounds === undefined) {
    if (!wasGated) return
    active.byService.clear()
    for (const server of fleet.byId.values()) server.role = 'baseline'
    return
  }
  const inForce = findVersionsInForce(versions, rollouts)
  const running = new Map(rollouts.filter(isRunningRollout).map(item => [item.key, item]))
  for (const [service, rollout] of active.byService) {
    if (!running.has(service)) endRollout(active, rollout, rollouts.find(item => item.key === service))
  }
  for (const item of running.values()) refreshRollout(fleet, item, now)
  for (const [service, servers] of fleet.byService) {
    if (running.has(service)) continue
    const version = inForce.get(service)
    for (const server of servers) server.role = version === undefined || server.facts.software === version ? 'baseline' : 'unused'
  }
}

function findVersionsInForce (versions: readonly ServiceVersionItem[], rollouts: readonly RolloutItem[]): Map<ServiceId, SoftwareVersion> {
  const inForce = new Map(versions.map(({ key, version }) => [key, version]))
  for (const { key, state, baseline, target } of rollouts) inForce.set(key, state === 'completed' ? target : baseline)
  return inForce
}

function endRollout (active: ActiveRollouts, rollout: ActiveRollout, last: RolloutItem | undefined): void {
  active.byService.delete(rollout.item.key)
  if (last?.state === 'rolledBack' && rollout.exposure.targetSends > 0) recordUseChange(active, rollout, 'stopped', 'rolledBack')
}

function refreshRollout (fleet: Fleet, item: RolloutItem, now: Millis): void {
  const known = fleet.rollouts.byService.get(item.key)
  const rollout = known?.item.order === item.order ? known : createActiveRollout(item)
  fleet.rollouts.byService.set(item.key, rollout)
  const servers = fleet.byService.get(item.key) ?? []
  const baseline = servers.filter(({ facts }) => facts.software === item.baseline)
  const present = new Set(baseline)
  rollout.item = item
  rollout.tracked = [...baseline, ...rollout.tracked.filter(server => server.running.size > 0 && !present.has(server))]
  rollout.baseline = item.state === 'draining' ? [] : baseline
  rollout.target = selectTargetServers(item, servers.filter(({ facts }) => facts.software === item.target))
  for (const server of servers) server.role = 'unused'
  for (const server of rollout.baseline) server.role = 'baseline'
  assignTargetRoles(rollout)
  updateTargetUse(fleet.rollouts, rollout, now)
}

/**
 * Returns the target servers that get requests. Under observation these are, in each failure domain, as large a share of the servers
 * as the share of objects that the target version serves, so that they run at the load of the other servers: some defects show
 * only under load, and a nearly idle server would warm no objects.
 */
function selectTargetServers ({ state, percent }: RolloutItem, servers: readonly FleetServer[]): readonly FleetServer[] {
  if (state !== 'observing') return servers
  const byDomain = new Map<FailureDomainId, FleetServer[]>()
  for (const server of servers) {
    if (server.facts.isClosed || server.notice.isLeaving) continue
    const group = byDomain.get(server.facts.failureDomain)
    if (group === undefined) byDomain.set(server.facts.failureDomain, [server])
    else group.push(server)
  }
  return [...byDomain.values()].flatMap(group => group.sort(compareHashes).slice(0, Math.max(1, Math.round(group.length * percent / 100))))
}

function compareHashes (a: FleetServer, b: FleetServer): number {
  return a.hash - b.hash || (a.facts.id < b.facts.id ? -1 : 1)
}
