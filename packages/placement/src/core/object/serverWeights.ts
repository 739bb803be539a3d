/**
 * Weights of servers in rendezvous hashing, moved until the servers of a region are equally full.
 *
 * What can go wrong: hashing gives servers equal numbers of objects only on average. With eight objects a server one in
 * twenty gets thirteen and more, which fill all its slots, while others stand half idle; slow servers fill sooner still.
 * It shows as requests that wait at a few servers in calm hours. One place that hears of all servers moves the
 * weights a little each second, so that a full server gives up the few objects that it barely won.
 */
import type { Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'

/** How full one server is. */
export interface ServerFill {
  readonly id: ServerId
  readonly service: ServiceId
  readonly region: RegionId
  /** Requests running and waiting for each slot. */
  readonly fill: number
}

/** Change of a weight in a second for a server that is twice as full as the mean: of eight objects one leaves in four seconds, and gets warm before the next. */
const gainPerSecond = 0.03
/** Fills this near to the mean, in parts of it, are left alone: requests come unevenly, and each move makes an object cold. */
const deadBand = 0.25
/** A queue is many times the mean; it must not empty its server at once. */
const mostExcess = 2
/** While no server of a region is this full, few requests wait, and a move only makes its object cold. */
const crowdedFill = 0.7
export const leastWeight = 0.25
export const mostWeight = 2.5

/** Moves the weights on by the fills of servers that are heard of; others keep theirs. */
export function stepWeights (weights: Map<ServerId, number>, fills: readonly ServerFill[], passedMs: Millis): void {
  const means = meanFills(fills)
  for (const { id, service, region, fill } of fills) {
    const { mean, most } = means.get(`${service} ${region}`) ?? { mean: 0, most: 0 }
    if (most < crowdedFill) continue
    const excess = Math.min(mostExcess, fill / mean - 1)
    if (Math.abs(excess) < deadBand) continue
    const moved = (weights.get(id) ?? 1) * Math.exp(-gainPerSecond * excess * passedMs / 1000)
    weights.set(id, Math.min(mostWeight, Math.max(leastWeight, moved)))
  }
}

interface GroupFill { readonly mean: number, readonly most: number }

function meanFills (fills: readonly ServerFill[]): Map<string, GroupFill> {
  const sums = new Map<string, { fill: number, count: number, most: number }>()
  for (const { service, region, fill } of fills) {
    const key = `${service} ${region}`
    const sum = sums.get(key)
    if (sum === undefined) sums.set(key, { fill, count: 1, most: fill })
    else {
      sum.fill += fill
      sum.count += 1
      sum.most = Math.max(sum.most, fill)
    }
  }
  return new Map([...sums].map(([key, { fill, count, most }]) => [key, { mean: fill / count, most }]))
}
