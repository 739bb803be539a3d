/** A load pattern: a deployment, its callers, and what happens to it. All times in milliseconds unless a name ends in `S`. */
import { z } from 'zod'

const share = z.number().min(0).max(1)
const positive = z.number().positive()
const count = z.number().int().min(0)

const routeSchema = z.strictObject({
  service: z.string().min(1),
  isIdempotent: z.boolean(),
  /** Requests a second of all callers, on the mean. */
  perSecond: positive,
  /** Objects of each region's callers. */
  objects: count.min(1),
  /** Work for an object that is cold at its server. */
  workMs: positive,
  /** Part of that where it is warm. */
  warmPart: share,
  /** Standard deviation of the work, in parts of it. */
  spread: share,
  aimMs: positive,
  timeoutMs: positive,
  /** How long callers wait in all. */
  patienceMs: positive,
  worth: positive,
  lateWorth: z.number().min(0),
  rank: count
})

const serviceSchema = z.strictObject({
  slots: count.min(1),
  /** Requests that a server lets wait. */
  queue: count,
  /** Objects that a server keeps warm. */
  warmObjects: count.min(1),
  /** Servers in each failure domain, by region. */
  servers: z.record(z.string(), count)
})

const regionSchema = z.strictObject({
  failureDomains: count.min(1),
  /** Entry VMs in each of them. */
  entryVms: count.min(1),
  /** Part of all callers. */
  callers: share,
  /** Where in its wave the region begins, in parts of the period. */
  phase: share.default(0)
})

const times = { atS: z.number().min(0), forS: z.number().min(0).default(0) }
const disturbanceSchema = z.discriminatedUnion('kind', [
  /** Callers send so many times more. */
  z.strictObject({ kind: z.literal('burst'), ...times, factor: positive }),
  /** A part of one region's callers is in another one. */
  z.strictObject({ kind: z.literal('callersMove'), ...times, from: z.string(), to: z.string(), share }),
  /** Entry VMs lose what they know and what they have under way, and are away meanwhile. */
  z.strictObject({ kind: z.literal('entryVmsStop'), ...times, share }),
  /** Entry VMs start anew one after the other, so many at a time. */
  z.strictObject({ kind: z.literal('entryVmsRoll'), ...times, atOnce: count.min(1), gapMs: positive }),
  /** Servers crash, and come back with no object warm. */
  z.strictObject({ kind: z.literal('serversCrash'), ...times, share }),
  /** All servers of a failure domain leave, and come back with no object warm. */
  z.strictObject({ kind: z.literal('domainReturnsCold'), ...times, region: z.string() }),
  /** Servers take so many times as long. */
  z.strictObject({ kind: z.literal('serversSlow'), ...times, share, factor: positive }),
  /** Servers turn away a part of what they get although they have room. */
  z.strictObject({ kind: z.literal('serversShed'), ...times, share, part: share }),
  /** Servers announce that they leave, and leave. */
  z.strictObject({ kind: z.literal('serversLeave'), ...times, share }),
  /** Entry VMs hear nothing of the load. */
  z.strictObject({ kind: z.literal('controlCut'), ...times })
])

export const patternSchema = z.strictObject({
  name: z.string().min(1),
  /** What happens, in a sentence. */
  about: z.string().min(1),
  seconds: positive,
  /** One-way delays. */
  delays: z.strictObject({ inRegion: positive, betweenRegions: positive, toCallers: positive }),
  /** How the callers' demand swings around its mean; 0 for not at all. */
  wave: z.strictObject({ swing: share, periodS: positive }),
  entryVm: z.strictObject({
    /** Processor time of one request, and the part of a processor that a VM has. */
    requestCpuMs: z.number().min(0),
    cores: positive,
    /** How long a connection to a server may rest before it is closed. */
    restMs: positive
  }),
  regions: z.record(z.string(), regionSchema),
  services: z.record(z.string(), serviceSchema),
  routes: z.record(z.string(), routeSchema),
  disturbances: z.array(disturbanceSchema).default([])
})

export type Pattern = z.infer<typeof patternSchema>
export type RoutePattern = z.infer<typeof routeSchema>
export type ServicePattern = z.infer<typeof serviceSchema>
export type Disturbance = z.infer<typeof disturbanceSchema>
