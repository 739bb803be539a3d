/** Which servers hashing names for an object: all VMs agree on them without talking, so they warm the same ones. */
import { hashText, combineHashes } from '@lynxcourse/base'
import type { RegionId, ServerId } from '@lynxcourse/base'
import type { FleetServer } from '../server/fleetServer.js'

/**
 * What hashing says of a server for an object. `primary` is its server in the region that the plan names, `movedPrimary` the same where
 * this VM saw the object lately at another server of that region, `secondary` the second one there, `remote` one in another region.
 */
export type HashPlace = 'primary' | 'movedPrimary' | 'secondary' | 'remote'

/** What hashing says of the servers for an object: the first two of the planned region, and the first of each other one. */
export function placesOf (servers: readonly FleetServer[], object: string, planned: RegionId | undefined): Map<ServerId, HashPlace> {
  const objectHash = hashText(object)
  const byRegion = new Map<RegionId, FirstTwo>()
  for (const server of servers) {
    let held = byRegion.get(server.facts.region)
    if (held === undefined) {
      held = { first: undefined, firstScore: -1, second: undefined, secondScore: -1 }
      byRegion.set(server.facts.region, held)
    }
    takeScore(held, server, weightedScore(combineHashes(objectHash, server.hash), server.weight))
  }
  const places = new Map<ServerId, HashPlace>()
  for (const [region, { first, second }] of byRegion) {
    if (first !== undefined) places.set(first.facts.id, region === planned ? 'primary' : 'remote')
    if (second !== undefined && region === planned) places.set(second.facts.id, 'secondary')
  }
  return places
}

const hashRange = 2 ** 32

/** Rendezvous score: of two servers, the one with twice the weight wins twice as many objects, and a change of weight moves no others. */
function weightedScore (hash: number, weight: number): number {
  return weight / -Math.log((hash + 0.5) / hashRange)
}

/** The two servers of a region with the highest rendezvous scores. */
interface FirstTwo {
  first: FleetServer | undefined
  firstScore: number
  second: FleetServer | undefined
  secondScore: number
}

function takeScore (held: FirstTwo, server: FleetServer, score: number): void {
  if (score > held.firstScore) {
    held.second = held.first
    held.secondScore = held.firstScore
    held.first = server
    held.firstScore = score
  } else if (score > held.secondScore) {
    held.second = server
    held.secondScore = score
  }
}
