/**
 * Adjusts the weights of servers in rendezvous hashing until the servers of a region are equally utilized.
 *
 * Hashing gives servers equal numbers of objects only on average. With a mean of eight objects per server, one server
 * in twenty gets thirteen or more, which fill all its slots while others are half idle; slow servers fill up sooner.
 * The symptom is requests that wait at a few servers at low load. The leader receives the load of all servers and
 * adjusts the weights a little each second, so that a full server loses the few objects that it barely won.
 */
import type { Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'

/** The utilization of one server. */
export interface ServerUtilization {
  readonly id: ServerId
  readonly service: ServiceId
  readonly region: RegionId
  /** Requests running and waiting per slot. */
  readonly fill: number
}

/**
 * Relative change of a weight per second for a server with twice the mean utilization. Of eight objects, one leaves in
 * four seconds and becomes warm before the next one leaves.
 */
const gainPerSecond = 0.03
/** Relative deviation from the mean that is ignored: requests arrive unevenly, and each move makes an object cold. */
const deadBand = 0.25
/** Bound of the deviation: a queue makes it many times the mean, which must not empty the server at once. */
const maxExcess = 2
/** While no server of a region reaches this utilization, few requests wait, and a move only makes its object cold. */
const rebalanceUtilization = 0.7
export const minWeight = 0.25
export const maxWeight = 2.5

/** Adjusts the weights by the utilization of the given servers; other servers keep theirs. */
export function adjustWeights (weights: Map<ServerId, number>, utilizations: readonly ServerUtilization[], passedMs: Millis): void {
  const groups = summarizeGroups(utilizations)
  for (const { id, service, region, fill } of utilizations) {
    const { mean, max } = groups.get(`${service} ${region}`) ?? { mean: 0, max: 0 }
    if (max < rebalanceUtilization) continue
    const excess = Math.min(maxExcess, fill / mean - 1)
    if (Math.abs(excess) < deadBand) continue
    const adjusted = (weights.get(id) ?? 1) * Math.exp(-gainPerSecond * excess * passedMs / 1000)
    weights.set(id, Math.min(maxWeight, Math.max(minWeight, adjusted)))
  }
}

interface GroupUtilization { readonly mean: number, readonly max: number }

function summarizeGroups (utilizations: readonly ServerUtilization[]): Map<string, GroupUtilization> {
  const sums = new Map<string, { fill: number, count: number, max: number }>()
  for (const { service, region, fill } of utilizations) {
    const key = `${service} ${region}`
    const sum = sums.get(key)
    if (sum === undefined) sums.set(key, { fill, count: 1, max: fill })
    else {
      sum.fill += fill
      sum.count += 1
      sum.max = Math.max(sum.max, fill)
    }
  }
  return new Map([...sums].map(([key, { fill, count, max }]) => [key, { mean: fill / count, max }]))
}
