/** Schema of the daemon's settings file. */
import { isIPv4 } from 'node:net'
import { policyNames } from '@lynxcourse/routing'
import { createNameSchema } from '@lynxcourse/state'
import type { FailureDomainId, RegionId, VmId } from '@lynxcourse/base'
import * as z from 'zod'

/** Schema of `IP:port`. */
export const addressSchema = z.string().refine(isAddress, 'must be IPv4:port')

function isAddress (text: string): boolean {
  const colon = text.lastIndexOf(':')
  const port = Number(text.slice(colon + 1))
  return isIPv4(text.slice(0, colon)) && Number.isInteger(port) && port >= 0 && port <= 65535
}

const millis = z.number().int().min(1).max(3_600_000)
const level = z.enum(['error', 'warn', 'info', 'debug'])

/** Schema of the log's settings. */
export const logSchema = z.strictObject({
  format: z.enum(['text', 'json']).default('text'),
  level: level.default('info'),
  /** Levels of individual parts, by prefix; all others use `level`. */
  parts: z.record(z.string(), level).default({})
}).prefault({})

const linkName = z.string().regex(/^[a-z0-9.-]+>[a-z0-9.-]+$/, 'must be FROM>TO')

const seedSchema = z.strictObject({
  vm: createNameSchema<VmId>(),
  region: createNameSchema<RegionId>(),
  rpc: addressSchema
})

const timesSchema = z.strictObject({
  heartbeatMs: millis.default(100),
  electionMs: millis.default(1000),
  syncMs: millis.default(500),
  reportMs: millis.default(500),
  suspectMs: millis.default(2000),
  lostMs: millis.default(5000),
  announceMs: millis.default(6000),
  leaseMs: millis.default(4000),
  grantMs: millis.default(4000),
  rpcTimeoutMs: millis.default(2000),
  connectTimeoutMs: millis.default(500),
  staleConnectionMs: millis.default(1000),
  silentConnectionMs: millis.default(1500),
  slowStartMs: millis.default(5000),
  stopMs: millis.default(60_000)
}).prefault({})

const limitsSchema = z.strictObject({
  /** Limit on the size of a request body. */
  maxBodyBytes: z.number().int().min(0).default(1_048_576),
  /** Bodies up to this size are buffered until the request ends, so that a retry can send them again. */
  bufferBytes: z.number().int().min(0).default(65_536),
  /** Limit on the size of an answer that the register of claims stores. */
  keptAnswerBytes: z.number().int().min(0).max(16_384).default(2048),
  /** Limit on the size of a request's headers. */
  maxHeaderBytes: z.number().int().min(1024).default(16_384),
  /** Limit on the size of an RPC message. */
  maxRpcBytes: z.number().int().min(65_536).default(33_554_432),
  /** Limit on RPC messages per second from one address. */
  rpcPerSecond: z.number().int().min(1).default(5000),
  /** Limit on announcements per second from one address. */
  announcementsPerSecond: z.number().int().min(1).default(100),
  /** Limit on concurrent requests at this VM. */
  maxRequests: z.number().int().min(1).default(2000),
  /** Limit on open connections from callers. */
  maxConnections: z.number().int().min(1).default(5000)
}).prefault({})

/** Schema of the settings file. */
export const settingsSchema = z.strictObject({
  vm: createNameSchema<VmId>(),
  region: createNameSchema<RegionId>(),
  failureDomain: createNameSchema<FailureDomainId>(),
  roles: z.array(z.enum(['entry', 'control'])).min(1),
  listen: z.strictObject({ http: addressSchema, rpc: addressSchema, metrics: addressSchema }),
  /** Folder in which a control VM stores its state. */
  dataFolder: z.string().min(1).optional(),
  /** The control VMs. */
  seeds: z.array(seedSchema).min(1).max(64),
  topology: z.strictObject({
    regions: z.record(createNameSchema<RegionId>(), z.array(createNameSchema<FailureDomainId>()).min(1)),
    /** One-way latencies, keyed by `FROM>TO` regions. */
    latenciesMs: z.record(linkName, z.number().min(0)).default({})
  }),
  /** Region of each block of caller addresses. */
  callerBlocks: z.array(z.strictObject({ cidr: z.string(), region: createNameSchema<RegionId>() })).default([]),
  /** File with further caller blocks, one `CIDR region` per line. */
  callerBlocksFile: z.string().optional(),
  serverPolicy: z.enum(policyNames).default('alone'),
  stepRule: z.enum(['fixed', 'headroom']).default('headroom'),
  times: timesSchema,
  limits: limitsSchema,
  log: logSchema,
  tls: z.strictObject({
    certFile: z.string().min(1),
    keyFile: z.string().min(1),
    caFile: z.string().min(1)
  }).optional()
}).superRefine((cfg, ctx) => {
  const addresses = Object.values(cfg.listen).filter(address => !address.endsWith(':0'))
  if (new Set(addresses).size !== addresses.length) {
    ctx.addIssue({ code: 'custom', path: ['listen'], message: 'uses one address twice' })
  }
  const regions = cfg.topology.regions as Record<string, readonly string[]>
  if (!(regions[cfg.region] ?? []).includes(cfg.failureDomain)) {
    ctx.addIssue({ code: 'custom', path: ['failureDomain'], message: `is not in topology.regions.${cfg.region}` })
  }
  if (cfg.roles.includes('control') && cfg.dataFolder === undefined) {
    ctx.addIssue({ code: 'custom', path: ['dataFolder'], message: 'is required for the role control' })
  }
  if (cfg.roles.includes('control') && !cfg.seeds.some(seed => seed.vm === cfg.vm)) {
    ctx.addIssue({ code: 'custom', path: ['seeds'], message: 'must name this VM, which has the role control' })
  }
  const rpcAddresses = cfg.seeds.map(seed => seed.rpc)
  if (new Set(rpcAddresses).size !== rpcAddresses.length) {
    ctx.addIssue({ code: 'custom', path: ['seeds'], message: 'uses one address twice' })
  }
  if (cfg.times.electionMs < cfg.times.heartbeatMs * 3) {
    ctx.addIssue({ code: 'custom', path: ['times', 'electionMs'], message: 'must be at least three heartbeats' })
  }
  if (cfg.tls === undefined && Object.values(cfg.listen).some(address => !address.startsWith('127.'))) {
    ctx.addIssue({ code: 'custom', path: ['listen'], message: 'must be loopback (127.0.0.0/8) without tls' })
  }
})

/** Validated settings, with defaults filled in. */
export type Settings = z.output<typeof settingsSchema>

/** Settings as written in the file, with optional keys. */
export type SettingsInput = z.input<typeof settingsSchema>

export type Seed = z.output<typeof seedSchema>
