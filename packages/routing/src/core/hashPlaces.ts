/** Which servers hashing names for an object: all VMs agree on them without talking, so they warm the same ones. */
import { hashText, mixHashes } from '@lynxcourse/base'
import type { RegionId, ServerId } from '@lynxcourse/base'
import type { FleetServer } from './fleetServer.js'

/** What hashing says of a server for an object: its place by the plan, the one beside it, or one in another region. */
export type HashPlace = 'home' | 'spare' | 'away'

/** What hashing says of the servers for an object: the first two of the planned region, and the first of each other one. */
export function placesOf (servers: readonly FleetServer[], object: string, planned: RegionId | undefined): Map<ServerId, HashPlace> {
  const objectHash = hashText(object)
  const byRegion = new Map<RegionId, FirstTwo>()
  for (const server of servers) {
    const held = byRegion.get(server.facts.region) ?? { first: undefined, firstScore: -1, second: undefined, secondScore: -1 }
    takeScore(held, server, mixHashes(objectHash, server.hash))
    byRegion.set(server.facts.region, held)
  }
  const places = new Map<ServerId, HashPlace>()
  for (const [region, { first, second }] of byRegion) {
    if (first !== undefined) places.set(first.facts.id, region === planned ? 'home' : 'away')
    if (second !== undefined && region === planned) places.set(second.facts.id, 'spare')
  }
  return places
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
