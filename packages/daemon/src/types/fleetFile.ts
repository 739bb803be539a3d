/** The settings file of a fleet's VM, as the YAML file spells it, with its check. */
import { brandId } from '@lynxcourse/base'
import type { FailureDomainId, RegionId } from '@lynxcourse/base'
import { createNameSchema } from '@lynxcourse/state'
import * as z from 'zod'
import { defaultFleetTimes } from './fleetSettings.js'
import type { FleetSettings, FleetTimes } from './fleetSettings.js'
import { addressSchema, logSchema } from './settings.js'

const millis = z.number().int().min(1).max(3_600_000)

/** All of the times may be given; those left out keep their defaults. */
const timesSchema = z.strictObject({
  heartbeatMs: millis,
  electionMs: millis,
  rpcTimeoutMs: millis,
  watchMs: millis,
  staleMs: millis,
  presenceMs: millis,
  presenceStaleMs: millis,
  missMs: millis,
  connectTimeoutMs: millis,
  staleConnectionMs: millis,
  stopMs: millis,
  lookupTtlMs: millis
}).partial().prefault({})

/** Schema of the part `fleet` of a settings file. */
export const fleetFileSchema = z.strictObject({
  vm: z.string().regex(/^[a-z0-9.-]{1,100}$/, 'must be lower-case letters, digits, dots and dashes'),
  roles: z.array(z.enum(['entry', 'control'])).min(1),
  region: createNameSchema<RegionId>(),
  failureDomain: createNameSchema<FailureDomainId>(),
  /** Failure domains by region. */
  regions: z.record(createNameSchema<RegionId>(), z.array(createNameSchema<FailureDomainId>()).min(1)),
  listen: z.strictObject({
    rpc: addressSchema,
    /** Callers' requests; needed for the role entry. */
    callers: addressSchema.optional(),
    metrics: addressSchema
  }),
  /** Where other VMs reach the RPC address, if it differs from where this VM listens, as behind a forwarder. */
  advertisedRpc: addressSchema.optional(),
  /** RPC addresses of some control VMs. */
  seeds: z.array(addressSchema).min(1).max(64),
  /** Whether the whole fleet starts for the first time, so that the seeds found the group. */
  isFirstStart: z.boolean().default(false),
  /** Where a control VM keeps its state. */
  dataFolder: z.string().min(1).optional(),
  retryBudget: z.strictObject({
    /** Repeats that each request earns. */
    ratio: z.number().min(0).max(1).default(0.2),
    windowMs: millis.default(10_000),
    /** Repeats in a window beyond those earned, for all VMs together. */
    slack: z.number().min(0).default(50)
  }).prefault({}),
  times: timesSchema,
  log: logSchema
}).superRefine((cfg, ctx) => {
  const regions = cfg.regions as Record<string, readonly string[]>
  if (!(regions[cfg.region] ?? []).includes(cfg.failureDomain)) {
    ctx.addIssue({ code: 'custom', path: ['failureDomain'], message: `is not in regions.${cfg.region}` })
  }
  if (cfg.roles.includes('control') && cfg.dataFolder === undefined) {
    ctx.addIssue({ code: 'custom', path: ['dataFolder'], message: 'is needed for the role control' })
  }
  if (cfg.roles.includes('entry') && cfg.listen.callers === undefined) {
    ctx.addIssue({ code: 'custom', path: ['listen', 'callers'], message: 'is needed for the role entry' })
  }
  if (Object.values(cfg.listen).some(address => !address.startsWith('127.'))) {
    ctx.addIssue({ code: 'custom', path: ['listen'], message: 'must be loopback (127.0.0.0/8): a fleet has no tls yet' })
  }
})

/** A fleet's settings as they may be written. */
export type FleetFileInput = z.input<typeof fleetFileSchema>

/** Turns checked settings into those that the daemon works with. */
export function resolveFleetSettings (given: z.output<typeof fleetFileSchema>): FleetSettings {
  const domains = Object.entries(given.regions as Record<string, readonly FailureDomainId[]>)
  return {
    name: given.vm,
    roles: given.roles,
    region: given.region,
    failureDomain: given.failureDomain,
    regions: new Map(domains.flatMap(([region, inRegion]) => inRegion.map(domain => [domain, brandId<RegionId>(region)] as const))),
    rpc: given.advertisedRpc ?? given.listen.rpc,
    rpcListen: given.listen.rpc,
    callers: given.listen.callers,
    metrics: given.listen.metrics,
    seeds: given.seeds,
    isFirstStart: given.isFirstStart,
    dataFolder: given.dataFolder,
    retryBudget: given.retryBudget,
    times: { ...defaultFleetTimes, ...withoutGaps(given.times) },
    log: given.log
  }
}

function withoutGaps (times: Partial<FleetTimes>): Partial<FleetTimes> {
  return Object.fromEntries(Object.entries(times).filter(([, value]) => value !== undefined))
}
