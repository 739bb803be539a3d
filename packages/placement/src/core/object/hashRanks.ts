/**
 * Ranks servers for an object by rendezvous hashing. All VMs compute the same ranks without communication, so they warm
 * the same servers.
 */
import { hashText, combineHashes } from '@lynxcourse/base'
import type { RegionId, ServerId } from '@lynxcourse/base'
import type { FleetServer } from '../server/fleetServer.js'

/**
 * The rank of a server for an object. `primary` is the object's server in the region that the plan selects,
 * `movedPrimary` the same if this VM recently saw the object at another server of that region, `secondary` the second
 * server of that region, `remote` the first one of another region.
 */
export type HashRank = 'primary' | 'movedPrimary' | 'secondary' | 'remote'

/** Returns the ranks of servers for an object: the first two of the planned region, and the first of each other region. */
export function computeHashRanks (servers: readonly FleetServer[], object: string, planned: RegionId | undefined): Map<ServerId, HashRank> {
  const objectHash = hashText(object)
  const byRegion = new Map<RegionId, TopTwo>()
  for (const server of servers) {
    let topTwo = byRegion.get(server.facts.region)
    if (topTwo === undefined) {
      topTwo = { first: undefined, firstScore: -1, second: undefined, secondScore: -1 }
      byRegion.set(server.facts.region, topTwo)
    }
    insertScore(topTwo, server, computeScore(combineHashes(objectHash, server.hash), server.weight))
  }
  const ranks = new Map<ServerId, HashRank>()
  for (const [region, { first, second }] of byRegion) {
    if (first !== undefined) ranks.set(first.facts.id, region === planned ? 'primary' : 'remote')
    if (second !== undefined && region === planned) ranks.set(second.facts.id, 'secondary')
  }
  return ranks
}

const hashRange = 2 ** 32

/**
 * Returns the rendezvous score: of two servers, the one with twice the weight wins twice as many objects, and a change
 * of a weight moves no objects between other servers.
 */
function computeScore (hash: number, weight: number): number {
  return weight / -Math.log((hash + 0.5) / hashRange)
}

/** The two servers of a region with the highest rendezvous scores. */
interface TopTwo {
  first: FleetServer | undefined
  firstScore: number
  second: FleetServer | undefined
  secondScore: number
}

function insertScore (topTwo: TopTwo, server: FleetServer, score: number): void {
  if (score > topTwo.firstScore) {
    topTwo.second = topTwo.first
    topTwo.secondScore = topTwo.firstScore
    topTwo.first = server
    topTwo.firstScore = score
  } else if (score > topTwo.secondScore) {
    topTwo.second = server
    topTwo.secondScore = score
  }
}
