/**
 * Schemas of the commands that VMs and operators submit to a fleet's log.
 *
 * Every control VM applies every committed command. One that can't be applied would stop all of them, so a command is
 * validated before it is proposed. Fields of later versions pass through.
 */
import type { Millis } from '@lynxcourse/base'
import * as z from 'zod'
import { addressSchema } from './settings.js'

/** Maximum number of servers or requests in one command. */
const maxListLength = 100_000
const maxRoutes = 100_000

/** Longest name, id or software version; operators and servers choose them. */
const maxNameLength = 4096

/** Schema of a name or id that this system's VMs choose. */
export const textSchema = z.string().min(1).max(200)
/** Schema of a name that operators or servers choose. */
export const nameSchema = z.string().min(1).max(maxNameLength)
const name = nameSchema
const names = z.array(name).max(maxListLength)
const count = z.number().min(0)
const annotations = z.record(z.string(), z.unknown())

/** Schema of the data that a backend server announces. */
export const announcementSchema = z.looseObject({
  // The reports of all VMs contain the ids of servers.
  id: textSchema,
  service: name,
  address: addressSchema,
  failureDomain: name,
  slots: z.number().int().min(1),
  software: z.string().max(maxNameLength).default(''),
  bornAt: z.number().int().min(0).default(0),
  isDraining: z.boolean(),
  seq: count,
  coldMs: count.default(0)
})

const routeSchema = z.looseObject({
  name,
  host: z.string(),
  pathPrefix: z.string(),
  isIdempotent: z.boolean(),
  hasLargeAnswers: z.boolean().optional(),
  timeoutMs: z.number(),
  aimMs: z.number(),
  rank: z.number(),
  service: name.optional(),
  split: z.array(z.looseObject({ service: name, weight: z.number() })),
  maxAttempts: z.number(),
  isSticky: z.boolean(),
  homes: names,
  isPublic: z.boolean().optional(),
  annotations
})
const upstreamSchema = z.looseObject({ name, healthPath: z.string(), maxConnections: z.number(), warmupMs: z.number(), warmupPerSecond: z.number(), annotations })
const limitsSchema = z.looseObject({ maxHeaderBytes: z.number(), maxBodyBytes: z.number(), headerTimeoutMs: z.number(), idleTimeoutMs: z.number() })
const teamSchema = z.looseObject({ name, keys: z.array(z.string()), rank: z.number().optional(), ratePerSecond: z.number(), burst: z.number(), homes: names, annotations })
const teamsSchema = z.array(teamSchema).max(maxRoutes).optional()
const routeChangeFields = { order: textSchema, baseVersion: count, routesVersion: count }

const serverEndSchema = z.looseObject({ request: textSchema, route: name, server: name, bornAt: count, isTrial: z.boolean() })

/** Fields of a report of ended servers. */
export const serverEndFields = { ends: z.array(serverEndSchema).max(maxListLength), answered: z.array(textSchema).max(maxListLength) }

/** Longest time that a trial of a restricted request may take. */
export const maxTrialMs: Millis = 600_000

/** Fields of a claim of a trial. */
export const trialFields = { request: textSchema, forMs: z.number().min(0).max(maxTrialMs) }

/** Longest duration that an operator may give a rollout. */
export const maxRolloutMs: Millis = 86_400_000
const softwareVersion = z.string().min(1).max(maxNameLength)

/** Schema of a command. */
export const fleetCommandSchema = z.discriminatedUnion('type', [
  z.looseObject({ type: z.literal('replaceRoutes'), ...routeChangeFields, set: z.looseObject({ routes: z.array(routeSchema).max(maxRoutes), upstreams: z.array(upstreamSchema).max(maxRoutes), limits: limitsSchema, teams: teamsSchema }) }),
  z.looseObject({ type: z.literal('updateRoutes'), ...routeChangeFields, putRoutes: z.array(routeSchema).max(maxRoutes), putUpstreams: z.array(upstreamSchema).max(maxRoutes), removeRoutes: names, removeUpstreams: names, limits: limitsSchema.optional(), putTeams: teamsSchema, removeTeams: names.optional() }),
  z.looseObject({ type: z.literal('evacuate'), failureDomain: name, isActive: z.boolean(), baseVersion: count.optional() }),
  z.looseObject({ type: z.literal('announce'), facts: announcementSchema }),
  z.looseObject({ type: z.literal('announceAll'), servers: z.array(announcementSchema).max(maxListLength) }),
  z.looseObject({ type: z.literal('dismiss'), ids: names, bornAt: count.optional() }),
  z.looseObject({ type: z.literal('miss'), ids: names }),
  z.looseObject({ type: z.literal('reportServerEnds'), ...serverEndFields }),
  z.looseObject({ type: z.literal('releaseRequest'), request: textSchema }),
  z.looseObject({ type: z.literal('startRollout'), service: name, target: softwareVersion, durationMs: z.number().positive().max(maxRolloutMs) }),
  z.looseObject({ type: z.literal('advanceRollout'), service: name, order: count, step: count, event: z.enum(['promote', 'grow', 'drain', 'complete', 'rollBack']), percent: z.number().min(0).max(100), reason: z.string().max(maxNameLength) }),
  z.looseObject({ type: z.literal('abortRollout'), service: name })
])
