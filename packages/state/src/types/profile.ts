/** The schema and types of a steering profile, which operators write. */
import type { ProfileName, RegionId, ServiceId } from '@lynxcourse/base'
import * as z from 'zod'

const namePattern = /^[a-z0-9][a-z0-9.-]{0,62}$/

/** Returns the schema of a branded name: lower case letters, digits, dots and dashes. */
export function createNameSchema<Id extends string> (): z.ZodType<Id> {
  const schema = z.string().regex(namePattern, 'must start with a lower case letter or digit and hold only lower case letters, digits, dots and dashes, 63 at most')
  return schema as unknown as z.ZodType<Id>
}

const capSchema = z.number().int().min(0).max(1_000_000)

const linkPattern = /^[a-z0-9][a-z0-9.-]*>[a-z0-9][a-z0-9.-]*$/

/** Schema of a profile. All caps count requests in flight. Times are in milliseconds unless their name ends in `S`. */
export const profileSchema = z.strictObject({
  name: createNameSchema<ProfileName>(),
  /** Regions in order of preference; a caller's own region comes first if the list contains it. */
  places: z.array(createNameSchema<RegionId>()).min(1).max(64),
  /** Maximum number of requests in flight to one region, from all VMs together. */
  regionCaps: z.record(z.string().regex(namePattern), capSchema).default({}),
  /** Maximum number of requests in flight from one region's VMs to another region, by `from>to`. */
  linkCaps: z.record(z.string().regex(linkPattern, 'must be FROM>TO'), capSchema).default({}),
  /** Maximum number of requests in flight that a shift has moved, for shifts that set no cap of their own. */
  shiftCap: capSchema.default(50),
  /** Deadline of a request that sets none. */
  deadlineMs: z.number().int().min(1).max(600_000).default(2000),
  /** Longest deadline that a request may set. */
  maxDeadlineMs: z.number().int().min(1).max(600_000).default(30_000),
  /** Maximum number of attempts of one idempotent request. */
  maxAttempts: z.number().int().min(1).max(5).default(3),
  /** Retries and hedged requests together, as a fraction of all requests. */
  retryBudget: z.number().min(0).max(1).default(0.1),
  /** Delay after which a second attempt of an idempotent request starts in parallel; 0 turns hedging off. */
  hedgeAfterMs: z.number().int().min(0).max(60_000).default(0),
  /** Maximum number of requests that wait for a slot at one VM. */
  queueLimit: z.number().int().min(0).max(10_000).default(200),
  /** What a VM does without the current state: refuse requests, or serve lookups and idempotent requests from its local copy. */
  whenIsolated: z.enum(['refuse', 'local']).default('refuse'),
  /** Lifetime of a lookup's answer in the caller's cache, in seconds. */
  lookupTtlS: z.number().int().min(1).max(3600).default(5)
}).superRefine((profile, ctx) => {
  const places = new Set<string>(profile.places)
  if (places.size !== profile.places.length) {
    ctx.addIssue({ code: 'custom', path: ['places'], message: 'lists a region more than once' })
  }
  for (const region of Object.keys(profile.regionCaps)) {
    if (!places.has(region)) ctx.addIssue({ code: 'custom', path: ['regionCaps', region], message: 'is not listed in places' })
  }
  for (const link of Object.keys(profile.linkCaps)) {
    const to = link.slice(link.indexOf('>') + 1)
    if (!places.has(to)) ctx.addIssue({ code: 'custom', path: ['linkCaps', link], message: `'${to}' is not listed in places` })
  }
  if (profile.deadlineMs > profile.maxDeadlineMs) {
    ctx.addIssue({ code: 'custom', path: ['deadlineMs'], message: 'exceeds maxDeadlineMs' })
  }
})

/** A validated profile. */
export type Profile = z.output<typeof profileSchema>

/** A profile as operators write it: fields with defaults may be missing. */
export type ProfileInput = z.input<typeof profileSchema>

/** The profile that a service runs under. */
export interface ServicePick {
  readonly service: ServiceId
  readonly profile: ProfileName
}
