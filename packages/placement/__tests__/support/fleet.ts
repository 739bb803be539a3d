/** Builds a small fleet as one entry VM knows it, and requests for it. */
import { brandId, createRandom } from '@lynxcourse/base'
import type { FailureDomainId, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { createServerNotice } from '@lynxcourse/limits'
import { createFleet, createFleetServer, placeRequest } from '@lynxcourse/placement'
import type { Fleet, FleetServer, PlacementRequest, ServerFacts } from '@lynxcourse/placement'
import { createRoute } from '@lynxcourse/state/testing'

export { createRoute }

const seed = 23

export const desk = brandId<ServiceId>('desk')
export const kochi = brandId<RegionId>('kochi')
export const mumbai = brandId<RegionId>('mumbai')

/** Creates a server of the service `desk` with three slots, past its warm-up and without observations. */
export function server (id: string, region = kochi, parts: Partial<ServerFacts> = {}): FleetServer {
  const facts: ServerFacts = { id: brandId<ServerId>(id), service: desk, address: `${id}:80`, failureDomain: brandId<FailureDomainId>(`${region}-a`), region, bornAt: 0, slots: 3, isClosed: false, ...parts }
  return createFleetServer(facts, -Infinity, createServerNotice())
}

/** Creates the fleet of a VM in Kochi that has learned the work times of the route and has no region plan. */
export function createTestFleet (...servers: FleetServer[]): Fleet {
  const fleet = createFleet({ self: 'vm-1', region: kochi, random: createRandom(seed), disabledMechanisms: new Set() }, ['vm-1'])
  for (const known of servers) fleet.byId.set(known.facts.id, known)
  fleet.byService.set(desk, servers)
  fleet.workModel.set('read desk', { coldMs: 240, warmMs: 72, longestMs: 240 })
  fleet.meanSlotTimes.set(desk, 100)
  fleet.roundTripTimes.set(mumbai, 70)
  fleet.coldRequestRates.set(desk, 10)
  return fleet
}

/** Creates a request for one object that is far from its deadline. */
export function request (parts: Partial<PlacementRequest> = {}): PlacementRequest {
  return { route: createRoute('read'), service: desk, object: 'read|7', tried: new Set(), arrivedAt: 1000, deadline: 2200, ...parts }
}

/** Returns the ID of the server that is selected for a request, or the reason of its refusal. */
export function getTargetOrReason (fleet: Fleet, placeable: PlacementRequest, now = 1000): string {
  const placement = placeRequest(fleet, placeable, now)
  return placement.type === 'send' ? placement.server.facts.id : placement.reason
}
