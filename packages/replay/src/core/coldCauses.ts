/** Why a request found its object cold at its server. */
import type { HashRank, Placement } from '@lynxcourse/placement'
import type { Backend, Job } from './backendModel.js'
import type { World } from './world.js'

/**
 * `first`: no server has handled the object yet. `beside`: another request for it is at the same server, cold too. `forgotten`: no
 * server has it warm any more. The others: some server has it warm, and the request went to this one, by what hashing says of it.
 */
export type ColdCause = 'first' | 'beside' | 'forgotten' | `moved to ${HashRank | 'unnamed'}`

/** The cause for a request that has just come to a server. */
export function coldCauseOf (world: World, backend: Backend, job: Job, placed: Placement): ColdCause {
  if (isUnderWayAt(backend, job)) return 'beside'
  if (!world.handled.has(job.object)) return 'first'
  const isWarmElsewhere = [...world.backends.values()].some(other => other.service === backend.service && other.warm.has(job.object))
  return isWarmElsewhere ? `moved to ${placed.place ?? 'unnamed'}` : 'forgotten'
}

function isUnderWayAt ({ running, waiting }: Backend, job: Job): boolean {
  return [...running, ...waiting].some(other => other !== job && other.object === job.object)
}
