/** Schema of the settings file of a fleet's VM. */
import { brandId } from '@lynxcourse/base'
import type { FailureDomainId, RegionId } from '@lynxcourse/base'
import { createNameSchema } from '@lynxcourse/state'
import * as z from 'zod'
import { defaultFleetTimes, defaultRateBound } from './fleetSettings.js'
import type { FleetSettings, FleetTimes } from './fleetSettings.js'
import { addressSchema, logSchema } from './settings.js'

const millis = z.number().int().min(1).max(3_600_000)

/** All times are optional. Omitted times have the values of `defaultFleetTimes`. */
const timesSchema = z.strictObject({
  heartbeatMs: millis,
  electionMs: millis,
  rpcTimeoutMs: millis,
  watchMs: millis,
  staleMs: millis,
  maxStateAgeMs: millis,
  presenceMs: millis,
  presenceStaleMs: millis,
  missMs: millis,
  connectTimeoutMs: millis,
  staleConnectionMs: millis,
  stopMs: millis,
  lookupTtlMs: millis
}).partial().prefault({})

/** Schema of the value of the key `fleet` in a settings file. */
export const fleetFileSchema = z.strictObject({
  vm: z.string().regex(/^[a-z0-9.-]{1,100}$/, 'must be lower-case letters, digits, dots and dashes'),
  roles: z.array(z.enum(['entry', 'control'])).min(1),
  region: createNameSchema<RegionId>(),
  failureDomain: createNameSchema<FailureDomainId>(),
  /** Failure domains by region. */
  regions: z.record(createNameSchema<RegionId>(), z.array(createNameSchema<FailureDomainId>()).min(1)),
  listen: z.strictObject({
    rpc: addressSchema,
    /** Address for callers' requests; required for the role entry. */
    callers: addressSchema.optional(),
    metrics: addressSchema
  }),
  /** RPC address for other VMs, if it differs from the address that this VM listens on, such as behind a forwarder. */
  advertisedRpc: addressSchema.optional(),
  /** RPC addresses of some of the control VMs. */
  seeds: z.array(addressSchema).min(1).max(64),
  /** Whether the whole fleet starts for the first time, so that the seeds form the initial group. */
  isFirstStart: z.boolean().default(false),
  /** Folder in which a control VM stores its state. */
  dataFolder: z.string().min(1).optional(),
  retryBudget: z.strictObject({
    /** Retries that each request adds to the budget. */
    ratio: z.number().min(0).max(1).default(0.2),
    windowMs: millis.default(10_000),
    /** Retries in a window in addition to those, for all VMs together. */
    slack: z.number().min(0).default(50)
  }).prefault({}),
  rateBound: z.strictObject({
    windowMs: millis.default(defaultRateBound.windowMs),
    /** Fraction by which the requests of a team in a window may exceed its limit. */
    overage: z.number().min(0).max(10).default(defaultRateBound.overage),
    /** Requests in a window beyond that, for all VMs together. */
    slack: z.number().min(0).default(defaultRateBound.slack)
  }).prefault({}),
  /** Bounds of rollouts of server versions; without them, servers of all versions are treated alike. */
  rollouts: z.strictObject({
    /** Fraction of a service's requests that a bad version may get. */
    exposureFraction: z.number().positive().max(1).default(0.1),
    /** Requests that it may get beyond that, for all VMs together. */
    exposureSlack: z.number().min(0).default(0),
    /** Time after its 50th bad answer from which a bad version gets no requests. */
    rollbackMs: millis.default(5000)
  }).optional(),
  /** What the VM can do; omitted values are unknown. */
  capacity: z.strictObject({
    cores: z.number().positive().optional(),
    /** Bandwidth of the VM's own network link in Mbit/s, for both directions together. */
    linkMbps: z.number().positive().optional()
  }).optional(),
  /** What the process may use; its limits on clients are derived from it. */
  resources: z.strictObject({
    memoryMb: z.number().int().min(64).optional(),
    /** File descriptors. */
    descriptors: z.number().int().min(300).optional()
  }).optional(),
  times: timesSchema,
  log: logSchema
}).superRefine((cfg, ctx) => {
  const regions = cfg.regions as Record<string, readonly string[]>
  if (!(regions[cfg.region] ?? []).includes(cfg.failureDomain)) {
    ctx.addIssue({ code: 'custom', path: ['failureDomain'], message: `is not in regions.${cfg.region}` })
  }
  if (cfg.roles.includes('control') && cfg.dataFolder === undefined) {
    ctx.addIssue({ code: 'custom', path: ['dataFolder'], message: 'is required for the role control' })
  }
  if (cfg.roles.includes('entry') && cfg.listen.callers === undefined) {
    ctx.addIssue({ code: 'custom', path: ['listen', 'callers'], message: 'is required for the role entry' })
  }
  if (Object.values(cfg.listen).some(address => !address.startsWith('127.'))) {
    ctx.addIssue({ code: 'custom', path: ['listen'], message: 'must be loopback (127.0.0.0/8), since a fleet does not support tls' })
  }
})

/** Settings of a fleet's VM as written in the file, with optional keys. */
export type FleetFileInput = z.input<typeof fleetFileSchema>

/** Converts validated file contents into the daemon's settings and fills in the default times. */
export function resolveFleetSettings (file: z.output<typeof fleetFileSchema>): FleetSettings {
  const domainsByRegion = Object.entries(file.regions as Record<string, readonly FailureDomainId[]>)
  return {
    name: file.vm,
    roles: file.roles,
    region: file.region,
    failureDomain: file.failureDomain,
    regions: new Map(domainsByRegion.flatMap(([region, inRegion]) => inRegion.map(domain => [domain, brandId<RegionId>(region)] as const))),
    rpc: file.advertisedRpc ?? file.listen.rpc,
    rpcListen: file.listen.rpc,
    callers: file.listen.callers,
    metrics: file.listen.metrics,
    seeds: file.seeds,
    isFirstStart: file.isFirstStart,
    dataFolder: file.dataFolder,
    retryBudget: file.retryBudget,
    rateBound: file.rateBound,
    rollouts: file.rollouts,
    capacity: file.capacity === undefined ? undefined : { cores: file.capacity.cores, linkMbps: file.capacity.linkMbps },
    resources: file.resources === undefined ? undefined : { memoryMb: file.resources.memoryMb, descriptors: file.resources.descriptors },
    times: { ...defaultFleetTimes, ...omitUndefined(file.times) },
    log: file.log
  }
}

function omitUndefined (times: Partial<FleetTimes>): Partial<FleetTimes> {
  return Object.fromEntries(Object.entries(times).filter(([, value]) => value !== undefined))
}
