/** Selects the version that a request goes to while a rollout of its service runs. */
import type { Millis } from '@lynxcourse/base'
import { isTargetObject } from '@lynxcourse/rollouts'
import type { RolloutItem } from '@lynxcourse/state'
import type { Fleet } from '../request/fleet.js'
import type { PlacementRequest } from '../../types/placementRequest.js'
import type { FleetServer } from '../server/fleetServer.js'
import { maySendToTarget } from './activeRollouts.js'

/** Servers of one version. */
export type VersionGroup = readonly FleetServer[]

/**
 * Returns the servers that may get a request, by version: the request goes to the first group that can take it. Hash ranks are
 * computed within one group, so an object keeps its server when servers of the other version appear.
 */
export function listVersionGroups (fleet: Fleet, request: PlacementRequest, now: Millis): readonly VersionGroup[] {
  const rollout = fleet.rollouts.byService.get(request.service)
  if (rollout === undefined) return [fleet.byService.get(request.service) ?? []]
  const { item, baseline, target } = rollout
  if (item.state === 'draining') return [target]
  return belongsToTarget(item, request) && maySendToTarget(fleet.rollouts, rollout, now) ? [target, baseline] : [baseline]
}

/** A request that arrived before this VM learned of the rollout has no draw, and stays with the baseline. */
function belongsToTarget (item: RolloutItem, { object, versionDraw }: PlacementRequest): boolean {
  return object === '' ? versionDraw !== undefined && versionDraw < item.percent : isTargetObject(item, object)
}

/** Draws the percentage that assigns a request without an object to a version; undefined if no rollout needs it. */
export function drawVersion ({ rollouts, setup }: Fleet, { service, object }: Pick<PlacementRequest, 'service' | 'object'>): number | undefined {
  return object === '' && rollouts.byService.has(service) ? setup.random() * 100 : undefined
}
