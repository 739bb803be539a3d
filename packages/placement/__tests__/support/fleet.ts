/** A small fleet as one entry VM knows it, and requests to it. */
import { brandId, createRandom } from '@lynxcourse/base'
import type { FailureDomainId, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { createFleet, createFleetServer, placeRequest } from '@lynxcourse/placement'
import type { Fleet, FleetServer, PlacementRequest, ServerFacts } from '@lynxcourse/placement'
import { route } from '@lynxcourse/state/testing'

export { route }

const seed = 23

export const desk = brandId<ServiceId>('desk')
export const kochi = brandId<RegionId>('kochi')
export const mumbai = brandId<RegionId>('mumbai')

/** A warm server of the desk with three slots, of which nothing was heard yet. */
export function server (id: string, region = kochi, parts: Partial<ServerFacts> = {}): FleetServer {
  const facts: ServerFacts = { id: brandId<ServerId>(id), service: desk, address: `${id}:80`, failureDomain: brandId<FailureDomainId>(`${region}-a`), region, bornAt: 0, slots: 3, isClosed: false, ...parts }
  return createFleetServer(facts, -Infinity)
}

/** The fleet of one VM in Kochi that has learned the route's times and knows no plan. */
export function createTestFleet (...servers: FleetServer[]): Fleet {
  const fleet = createFleet({ self: 'vm-1', region: kochi, random: createRandom(seed), disabledMechanisms: new Set() }, ['vm-1'])
  for (const held of servers) fleet.byId.set(held.facts.id, held)
  fleet.byService.set(desk, servers)
  fleet.work.set('read desk', { coldMs: 240, warmMs: 72, longestMs: 240 })
  fleet.meanWork.set(desk, 100)
  fleet.roundTripTimes.set(mumbai, 70)
  fleet.coldRequestRates.set(desk, 10)
  return fleet
}

/** A request for one object with ample time. */
export function request (parts: Partial<PlacementRequest> = {}): PlacementRequest {
  return { route: route('read'), service: desk, object: 'read|7', tried: new Set(), arrivedAt: 1000, deadline: 2200, ...parts }
}

/** The server that a request is sent to, or the reason of its refusal. */
export function sentTo (fleet: Fleet, asked: PlacementRequest, now = 1000): string {
  const placed = placeRequest(fleet, asked, now)
  return placed.type === 'send' ? placed.server.facts.id : placed.reason
}
