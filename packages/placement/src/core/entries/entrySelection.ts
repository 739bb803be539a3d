/** Selects the entry VMs that a lookup returns to a caller. */
import type { FailureDomainId, Millis, Random, RegionId } from '@lynxcourse/base'
import { computeLookupWeights } from './vmResources.js'
import type { VmResources } from './vmResources.js'

/** An entry VM as control VMs know it. */
export interface EntryPresence {
  readonly name: string
  /** Address at which callers reach it. */
  readonly address: string
  readonly failureDomain: FailureDomainId
  readonly region: RegionId
  readonly isReady: boolean
  /** Its capacity and utilization; undefined if its settings name no capacity. */
  readonly resources?: VmResources | undefined
}

export interface KnownEntry {
  readonly presence: EntryPresence
  readonly lastSeenAt: Millis
}

/** Largest number of addresses in one answer. */
const maxAddresses = 64
/** Smallest number of VMs in one answer, if there are as many, so that callers keep a choice when VMs fail. */
const minAddresses = 3
/** Smallest fraction of the VMs in one answer. */
const minFraction = 0.5

/**
 * Returns addresses for a caller: the ready VMs of its region or, if there are none, those of all regions, since a
 * remote entry VM is better than no answer. VMs of less capacity, or near the limit of it, are returned less often.
 */
export function selectEntries (entries: readonly KnownEntry[], region: RegionId | undefined, staleMs: Millis, now: Millis, random: Random): string[] {
  const ready = entries.filter(entry => entry.presence.isReady && now - entry.lastSeenAt < staleMs)
  const local = ready.filter(entry => entry.presence.region === region)
  const chosen = local.length > 0 ? local : ready
  const weights = computeLookupWeights(chosen.map(entry => entry.presence.resources))
  const selected = weights.every(weight => weight === 1) ? sampleItems(chosen, maxAddresses, random) : sampleWeighted(chosen, weights, random)
  return selected.map(entry => entry.presence.address)
}

/**
 * Returns random items, each with a probability in proportion to its weight; one of weight 1 is returned always, unless
 * there are too many. The number of items hardly varies, so that a choice among them is in proportion too.
 */
function sampleWeighted<Item> (items: readonly Item[], weights: readonly number[], random: Random): Item[] {
  const probabilities = computeProbabilities(weights)
  const indices = shuffleFirst(items.map((_, index) => index), items.length, random)
  // Systematic sampling: an item is drawn if its section of the sum contains a point of a grid with a random offset.
  let position = random()
  return indices.filter(index => {
    const start = Math.floor(position)
    position += probabilities[index] as number
    return Math.floor(position) > start
  }).map(index => items[index] as Item)
}

/** Scales weights so that their sum is a permitted number of addresses and none exceeds 1. */
function computeProbabilities (weights: readonly number[]): number[] {
  const least = Math.min(weights.length, Math.max(minAddresses, Math.ceil(weights.length * minFraction)))
  const sum = sumOf(weights)
  const count = Math.min(maxAddresses, Math.max(sum, least))
  let probabilities = weights.map(weight => Math.min(1, weight * count / sum))
  // What exceeds 1 is divided among the others, which can push further ones over 1.
  for (let round = 0; round < weights.length && count - sumOf(probabilities) > 1e-6; round++) {
    const missing = count - sumOf(probabilities)
    const open = sumOf(probabilities.filter(probability => probability < 1))
    if (open === 0) break
    probabilities = probabilities.map(probability => probability < 1 ? Math.min(1, probability * (1 + missing / open)) : 1)
  }
  return probabilities
}

function sumOf (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}

/**
 * Returns `count` random items, each with the same probability. If an answer always named the first VMs, these would
 * get all callers where there are more VMs than one answer holds. The symptom is VMs without callers beside others
 * whose processors are saturated.
 */
function sampleItems<Item> (items: readonly Item[], count: number, random: Random): Item[] {
  if (items.length <= count) return [...items]
  return shuffleFirst(items, count, random).slice(0, count)
}

/** Returns the items in an order whose first `count` are drawn at random. */
function shuffleFirst<Item> (items: readonly Item[], count: number, random: Random): Item[] {
  const remaining = [...items]
  for (let index = 0; index < count; index++) {
    const drawnIndex = index + Math.floor(random() * (remaining.length - index))
    const swapped = remaining[index] as Item
    remaining[index] = remaining[drawnIndex] as Item
    remaining[drawnIndex] = swapped
  }
  return remaining
}
