/** A steering profile as operators write it, with its check. */
import type { ProfileName, RegionId, ServiceId } from '@lynxcourse/base'
import * as z from 'zod'

const namePattern = /^[a-z0-9][a-z0-9.-]{0,62}$/

/** Schema of a branded name: lower case letters, digits, dots and dashes. */
export function createNameSchema<Id extends string> (): z.ZodType<Id> {
  const schema = z.string().regex(namePattern, 'must be lower case letters, digits, dots and dashes, 63 at most')
  return schema as unknown as z.ZodType<Id>
}

const cap = z.number().int().min(0).max(1_000_000)

const linkPattern = /^[a-z0-9][a-z0-9.-]*>[a-z0-9][a-z0-9.-]*$/

/** Schema of a profile. All caps count requests in flight; all times are milliseconds. */
export const profileSchema = z.strictObject({
  name: createNameSchema<ProfileName>(),
  /** Regions in order of preference; a caller's own region goes first if it is among them. */
  places: z.array(createNameSchema<RegionId>()).min(1).max(64),
  /** Most requests in flight to one region, from all VMs together. */
  regionCaps: z.record(z.string().regex(namePattern), cap).default({}),
  /** Most requests in flight from one region's VMs to another region, by `from>to`. */
  linkCaps: z.record(z.string().regex(linkPattern, 'must be FROM>TO'), cap).default({}),
  /** Most requests in flight that a shift may have moved, for shifts that set no cap. */
  shiftCap: cap.default(50),
  /** Deadline of a request that brings none. */
  deadlineMs: z.number().int().min(1).max(600_000).default(2000),
  /** Longest deadline that a request may bring. */
  maxDeadlineMs: z.number().int().min(1).max(600_000).default(30_000),
  /** Most attempts of one idempotent request. */
  maxAttempts: z.number().int().min(1).max(5).default(3),
  /** Retries and hedges together, as a share of requests. */
  retryBudget: z.number().min(0).max(1).default(0.1),
  /** A second attempt of an idempotent request starts after this; 0 turns hedging off. */
  hedgeAfterMs: z.number().int().min(0).max(60_000).default(0),
  /** Most requests waiting for a slot at one VM. */
  queueLimit: z.number().int().min(0).max(10_000).default(200),
  /** What a VM does that can't learn the present state. */
  whenIsolated: z.enum(['refuse', 'local']).default('refuse'),
  /** Lifetime of a look-up's answer in the caller's cache. */
  lookupTtlS: z.number().int().min(1).max(3600).default(5)
}).superRefine((profile, ctx) => {
  const places = new Set<string>(profile.places)
  if (places.size !== profile.places.length) {
    ctx.addIssue({ code: 'custom', path: ['places'], message: 'names a region twice' })
  }
  for (const region of Object.keys(profile.regionCaps)) {
    if (!places.has(region)) ctx.addIssue({ code: 'custom', path: ['regionCaps', region], message: 'is not among places' })
  }
  for (const link of Object.keys(profile.linkCaps)) {
    const to = link.slice(link.indexOf('>') + 1)
    if (!places.has(to)) ctx.addIssue({ code: 'custom', path: ['linkCaps', link], message: `'${to}' is not among places` })
  }
  if (profile.deadlineMs > profile.maxDeadlineMs) {
    ctx.addIssue({ code: 'custom', path: ['deadlineMs'], message: 'is over maxDeadlineMs' })
  }
})

/** A checked profile. */
export type Profile = z.output<typeof profileSchema>

/** A profile as it may be written, with defaults left out. */
export type ProfileInput = z.input<typeof profileSchema>

/** The profile that a service runs under. */
export interface ServicePick {
  readonly service: ServiceId
  readonly profile: ProfileName
}
