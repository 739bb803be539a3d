/**
 * A load pattern: a deployment, its callers and the disturbances during the replay. Times are in milliseconds; a name that ends
 * in `S` is in seconds.
 */
import { z } from 'zod'

const share = z.number().min(0).max(1)
const positive = z.number().positive()
const wholeNumber = z.number().int().min(0)

const routeSchema = z.strictObject({
  service: z.string().min(1),
  isIdempotent: z.boolean(),
  /** Mean requests per second of all callers together. */
  perSecond: positive,
  /** Number of objects that the callers of each region use. */
  objects: wholeNumber.min(1),
  /** Mean service time for an object that is cold at its server. */
  workMs: positive,
  /** Service time for a warm object, as a fraction of `workMs`. */
  warmPart: share,
  /** Standard deviation of the service time, as a fraction of `workMs`. */
  spread: share,
  aimMs: positive,
  timeoutMs: positive,
  /** Total time that a caller waits, over all its attempts. */
  patienceMs: positive,
  worth: positive,
  lateWorth: z.number().min(0),
  rank: wholeNumber
})

const serviceSchema = z.strictObject({
  slots: wholeNumber.min(1),
  /** Capacity of a server's queue. */
  queue: wholeNumber,
  /** Objects that a server keeps warm. */
  warmObjects: wholeNumber.min(1),
  /** Number of servers in each failure domain, by region. */
  servers: z.record(z.string(), wholeNumber)
})

const regionSchema = z.strictObject({
  failureDomains: wholeNumber.min(1),
  /** Entry VMs in each failure domain. */
  entryVms: wholeNumber.min(1),
  /** Fraction of all callers that belong to this region. */
  callers: share,
  /** Phase of the region's wave at the start, as a fraction of the period. */
  phase: share.default(0)
})

const times = { atS: z.number().min(0), forS: z.number().min(0).default(0) }
const disturbanceSchema = z.discriminatedUnion('kind', [
  /** All callers multiply their request rate by `factor`. */
  z.strictObject({ kind: z.literal('burst'), ...times, factor: positive }),
  /** A fraction of one region's callers sends from another region. */
  z.strictObject({ kind: z.literal('callersMove'), ...times, from: z.string(), to: z.string(), share }),
  /** Entry VMs stop: they lose their state and their requests in flight, and start again after `forS`. */
  z.strictObject({ kind: z.literal('entryVmsStop'), ...times, share }),
  /** Rolling restart of all entry VMs, `atOnce` at a time. */
  z.strictObject({ kind: z.literal('entryVmsRoll'), ...times, atOnce: wholeNumber.min(1), gapMs: positive }),
  /** Servers crash and return with all objects cold. */
  z.strictObject({ kind: z.literal('serversCrash'), ...times, share }),
  /** All servers of one failure domain crash and return with all objects cold. */
  z.strictObject({ kind: z.literal('domainReturnsCold'), ...times, region: z.string() }),
  /** Service times of some servers are multiplied by `factor`. */
  z.strictObject({ kind: z.literal('serversSlow'), ...times, share, factor: positive }),
  /** Servers shed a fraction (`part`) of their requests although they have capacity. */
  z.strictObject({ kind: z.literal('serversShed'), ...times, share, part: share }),
  /** Servers name a limit for the requests of all VMs together. */
  z.strictObject({ kind: z.literal('serversLimited'), ...times, share, perSecond: z.number().min(0) }),
  /** Servers turn away a fraction (`part`) of their requests, and ask each VM for no requests for `pauseS`. */
  z.strictObject({ kind: z.literal('serversPause'), ...times, share, part: share, pauseS: positive }),
  /** Servers announce that they leave, and say so in their answers; then they stop. */
  z.strictObject({ kind: z.literal('serversLeave'), ...times, share }),
  /** Entry VMs receive no load updates. */
  z.strictObject({ kind: z.literal('controlCut'), ...times })
])

export const patternSchema = z.strictObject({
  name: z.string().min(1),
  /** One sentence that describes the pattern. */
  about: z.string().min(1),
  seconds: positive,
  /** One-way delays. */
  delays: z.strictObject({ inRegion: positive, betweenRegions: positive, toCallers: positive }),
  /** Sine wave of the callers' demand: amplitude as a fraction of the mean (0: constant demand), and period. */
  wave: z.strictObject({ swing: share, periodS: positive }),
  entryVm: z.strictObject({
    /** Processor time per request, and the number of processor cores that a VM has, which may be a fraction. */
    requestCpuMs: z.number().min(0),
    cores: positive,
    /** Idle timeout of connections to servers. */
    restMs: positive
  }),
  callers: z.strictObject({
    /** Fraction of refused requests that callers repeat at once, whatever Retry-After says. */
    impatient: share.default(0),
    /** Interval at which a caller that finds no running VM tries again, without using up its retry; undefined if the request fails. */
    reconnectMs: positive.optional()
  }).default({ impatient: 0 }),
  regions: z.record(z.string(), regionSchema),
  services: z.record(z.string(), serviceSchema),
  routes: z.record(z.string(), routeSchema),
  disturbances: z.array(disturbanceSchema).default([])
})

export type Pattern = z.infer<typeof patternSchema>
export type RoutePattern = z.infer<typeof routeSchema>
export type ServicePattern = z.infer<typeof serviceSchema>
export type Disturbance = z.infer<typeof disturbanceSchema>
