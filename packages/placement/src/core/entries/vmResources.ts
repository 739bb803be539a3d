/**
 * What an entry VM can do and how much of it is in use, and the share of lookups that should name the VM.
 *
 * VMs of one region may differ: one that has a processor of 0.62 cores gets as many callers as one of 0.76 if lookups
 * name both equally often, and is saturated first.
 */
import type { Millis } from '@lynxcourse/base'

/** Capacity and utilization of a VM; undefined fields are unknown. */
export interface VmResources {
  /** Processor cores, with fractions. */
  readonly cores?: number | undefined
  /** Bandwidth of its own network link in Mbit/s. */
  readonly linkMbps?: number | undefined
  /** Utilization of the processor, in steps of `utilizationStep`. */
  readonly cpuUse?: number | undefined
  /** Utilization of the link by both directions together, in steps of `utilizationStep`. */
  readonly linkUse?: number | undefined
}

/** Resolution of a published utilization, so that presence rarely changes. */
const utilizationStep = 0.05
/**
 * Time constant of the smoothed utilization. With 2 s, in a replay at 95 % utilization with lookups cached for 2 to 5 s,
 * the utilization of a VM varied by 0.39.
 */
const smoothingMs: Millis = 6000
/** A VM processes requests on one event loop, which uses one core. */
const maxUsableCores = 1
/** Links of this bandwidth and above aren't scarce: an event loop on one core forwards less. */
export const scarceLinkMbps = 100
/** Utilization from which lookups name a VM less often. */
const highUtilization = 0.8
/**
 * Weight of a VM at full utilization, relative to the same VM below `highUtilization`. In the same replay with a time
 * constant of 4 s, the utilization of a VM varied by 0.57 with 0.2, by 0.25 with 0.5 and by 0.07 with 0.7; without this
 * feedback, by 0.05.
 */
const saturatedWeight = 0.6

/** Returns the number of cores that requests can use. */
export function getUsableCores (cores: number): number {
  return Math.min(cores, maxUsableCores)
}

/**
 * Returns the utilization after a sample, smoothed over some seconds.
 *
 * @param previous undefined if there was no sample before
 * @param sample utilization since the previous sample
 */
export function smoothUtilization (previous: number | undefined, sample: number, elapsedMs: Millis): number {
  const weight = 1 - Math.exp(-elapsedMs / smoothingMs)
  return (previous ?? 0) + (sample - (previous ?? 0)) * weight
}

/**
 * Rounds a utilization for publication. A value that varies around the middle of two steps keeps the published one.
 *
 * @param published the last published value; undefined if there is none
 */
export function roundUtilization (value: number, published: number | undefined): number {
  if (published !== undefined && Math.abs(value - published) < utilizationStep * 0.75) return published
  return Math.round(Math.round(Math.max(0, value) / utilizationStep) * utilizationStep * 100) / 100
}

/**
 * Returns the weights of VMs in lookups, the largest of which is 1: proportional to the scarcer resource, and lower near
 * the limit of a resource. A VM of unknown capacity counts as one of the largest.
 */
export function computeLookupWeights (resources: ReadonlyArray<VmResources | undefined>): number[] {
  const maxCores = Math.max(...resources.map(vm => getUsableCores(vm?.cores ?? 0)))
  const maxLink = Math.max(...resources.map(vm => getScarceLink(vm?.linkMbps ?? 0)))
  const weights = resources.map(vm => {
    const cores = vm?.cores === undefined ? 1 : getUsableCores(vm.cores) / maxCores
    const link = vm?.linkMbps === undefined ? 1 : getScarceLink(vm.linkMbps) / maxLink
    return Math.min(cores, link) * getUtilizationWeight(Math.max(vm?.cpuUse ?? 0, vm?.linkUse ?? 0))
  })
  const largest = Math.max(...weights)
  return weights.map(weight => weight / largest)
}

function getScarceLink (linkMbps: number): number {
  return Math.min(linkMbps, scarceLinkMbps)
}

function getUtilizationWeight (utilization: number): number {
  const excess = Math.min(1, Math.max(0, (utilization - highUtilization) / (1 - highUtilization)))
  return 1 - excess * (1 - saturatedWeight)
}
