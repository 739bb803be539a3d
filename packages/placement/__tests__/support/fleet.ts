/** A small fleet as one entry VM knows it, and requests to it. */
import { brandId, makeRandom } from '@lynxcourse/base'
import type { FailureDomainId, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { createFleet, createFleetServer, placeRequest } from '@lynxcourse/placement'
import type { Fleet, FleetServer, PlaceRequest, ServerFacts } from '@lynxcourse/placement'
import { route } from '@lynxcourse/state/testing'

export { route }

const seed = 23

export const desk = brandId<ServiceId>('desk')
export const kochi = brandId<RegionId>('kochi')
export const mumbai = brandId<RegionId>('mumbai')

/** Creates a warm server of the service `desk` with three slots that has not reported yet. */
export function server (id: string, region = kochi, overrides: Partial<ServerFacts> = {}): FleetServer {
  const facts: ServerFacts = { id: brandId<ServerId>(id), service: desk, address: `${id}:80`, failureDomain: brandId<FailureDomainId>(`${region}-a`), region, bornAt: 0, slots: 3, isClosed: false, ...overrides }
  return createFleetServer(facts, -Infinity)
}

/** Creates the fleet of one VM in Kochi that has learned the route's times and has no region plan. */
export function fleetOf (...servers: FleetServer[]): Fleet {
  const fleet = createFleet({ self: 'vm-1', region: kochi, random: makeRandom(seed), without: new Set() }, ['vm-1'])
  for (const added of servers) fleet.byId.set(added.facts.id, added)
  fleet.byService.set(desk, servers)
  fleet.work.set('read desk', { coldMs: 240, warmMs: 72, longestMs: 240 })
  fleet.meanWork.set(desk, 100)
  fleet.travel.set(mumbai, 70)
  fleet.coldRates.set(desk, 10)
  return fleet
}

/** Creates a request for one object with ample time. */
export function request (overrides: Partial<PlaceRequest> = {}): PlaceRequest {
  return { route: route('read'), service: desk, object: 'read|7', tried: new Set(), arrivedAt: 1000, deadline: 2200, ...overrides }
}

/** Places a request. Returns the id of the selected server or the reason of the rejection. */
export function sentTo (fleet: Fleet, asked: PlaceRequest, now = 1000): string {
  const placed = placeRequest(fleet, asked, now)
  return placed.type === 'send' ? placed.server.facts.id : placed.reason
}
