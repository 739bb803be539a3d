/** Classifies why a request's object is cold at its server. */
import type { Placement } from '@lynxcourse/placement'
import type { Backend, Job } from './backendModel.js'
import type { World } from './world.js'
import type { ColdCause } from '../types/coldCause.js'

/** Returns the cause for a request that has just arrived at a server. */
export function classifyColdRequest (world: World, backend: Backend, job: Job, placement: Placement): ColdCause {
  if (isInFlight(backend, job)) return 'beside'
  if (!world.handled.has(job.object)) return 'first'
  const isWarmElsewhere = [...world.backends.values()].some(other => other.service === backend.service && other.warm.has(job.object))
  return isWarmElsewhere ? `moved to ${placement.place ?? 'unnamed'}` : 'forgotten'
}

function isInFlight ({ running, waiting }: Backend, job: Job): boolean {
  return [...running, ...waiting].some(other => other !== job && other.object === job.object)
}
