/**
 * How many requests one entry VM may send to a version under observation.
 *
 * Each VM earns its budget by answers to its own requests, and spends it before a send. No schedule of partitions, restarts and
 * leader changes can therefore exceed the bound over all VMs, and the VMs need no communication for it.
 */
import type { RolloutBounds } from '../types/bounds.js'

/** Counts of one VM since it learned of the rollout. */
export interface Exposure {
  /** Answers of servers of the service, whatever their version. */
  answers: number
  /** Sends to servers of the target version, unfinished ones included. */
  targetSends: number
}

/**
 * Fraction of the permitted exposure that VMs use. Only answers earn, so the sums of all VMs stay below the bound also for
 * requests that the fleet's operators count differently, for example those that a server received and did not answer.
 */
const usedFraction = 0.9

/** Creates the counts of a VM that has just learned of the rollout: it has earned no send to the target version. */
export function createExposure (): Exposure {
  return { answers: 0, targetSends: 0 }
}

/** Returns whether the VM has earned one more send to the target version. */
export function mayExpose ({ answers, targetSends }: Exposure, { exposureFraction }: Pick<RolloutBounds, 'exposureFraction'>): boolean {
  return targetSends + 1 <= usedFraction * exposureFraction * answers
}

/** Records a send to the target version; must be called before the send. */
export function recordTargetSend (exposure: Exposure): void {
  exposure.targetSends += 1
}

/** Records an answer of a server. A request without an answer earns nothing, since it may have reached no server. */
export function recordServiceAnswer (exposure: Exposure): void {
  exposure.answers += 1
}
