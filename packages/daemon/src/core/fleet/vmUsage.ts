/** Measures how much of its processor and its link an entry VM uses, if its settings name their capacity. */
import { getUsableCores, roundUtilization, smoothUtilization } from '@lynxcourse/placement'
import type { VmResources } from '@lynxcourse/placement'
import type { Millis } from '@lynxcourse/base'
import type { VmCapacity } from '../../types/fleetSettings.js'
import { createTrafficMeter, readTraffic } from '../../utils/trafficMeter.js'
import type { TrafficBytes, TrafficMeter } from '../../utils/trafficMeter.js'

/** Totals since the start of the process. */
export interface UsageTotals extends TrafficBytes {
  /** Processor time of the process. */
  readonly cpuMs: Millis
}

/** The measured utilization of one VM. */
export interface VmUsage {
  /** Connections with callers and backend servers. */
  readonly traffic: TrafficMeter
  /** Totals and time of the last sample. */
  last: (UsageTotals & { readonly at: Millis }) | undefined
  /** Smoothed utilizations; undefined if unknown. */
  cpuUse: number | undefined
  linkUse: number | undefined
  /** The last published resources. */
  published: VmResources | undefined
}

const bitsPerByte = 8
const bitsPerMillisecondAndMbps = 1000
const microsPerMillisecond = 1000

export function createVmUsage (): VmUsage {
  return { traffic: createTrafficMeter(), last: undefined, cpuUse: undefined, linkUse: undefined, published: undefined }
}

/** Reads the totals of this process. */
export function readUsageTotals ({ traffic }: VmUsage): UsageTotals {
  const { user, system } = process.cpuUsage()
  return { cpuMs: (user + system) / microsPerMillisecond, ...readTraffic(traffic) }
}

/** Updates the utilizations with the totals of a further sample; returns what changed since the previous sample. */
export function sampleUsage (usage: VmUsage, { cores, linkMbps }: VmCapacity, totals: UsageTotals, now: Millis): UsageTotals | undefined {
  const { last } = usage
  usage.last = { ...totals, at: now }
  if (last === undefined || now <= last.at) return undefined
  const elapsedMs = now - last.at
  const change = { cpuMs: totals.cpuMs - last.cpuMs, received: totals.received - last.received, sent: totals.sent - last.sent }
  usage.cpuUse = cores === undefined ? undefined : smoothUtilization(usage.cpuUse, change.cpuMs / elapsedMs / getUsableCores(cores), elapsedMs)
  const bits = (change.received + change.sent) * bitsPerByte
  usage.linkUse = linkMbps === undefined ? undefined : smoothUtilization(usage.linkUse, bits / elapsedMs / bitsPerMillisecondAndMbps / linkMbps, elapsedMs)
  return change
}

/** Returns the capacity and the rounded utilization for publication; undefined if the capacity is unknown. */
export function publishUsage (usage: VmUsage, capacity: VmCapacity | undefined): VmResources | undefined {
  if (capacity === undefined) return undefined
  const { cpuUse, linkUse, published } = usage
  usage.published = {
    ...capacity,
    cpuUse: cpuUse === undefined ? undefined : roundUtilization(cpuUse, published?.cpuUse),
    linkUse: linkUse === undefined ? undefined : roundUtilization(linkUse, published?.linkUse)
  }
  return usage.published
}
