/**
 * Decides whether a VM's link can deliver another large answer by its deadline.
 *
 * The load pattern is a burst of downloads at one VM: each of them is under way before the first byte of any has arrived, and those
 * that the link can't carry occupy it until their deadlines, at which they are cut. Such a request is refused before it is sent, so
 * that its caller can use another VM while there is time.
 */
import type { Millis } from '@lynxcourse/base'

/** Large answers of one VM. */
export interface LargeAnswerDemand {
  /** Requests whose large answers are not complete yet, from before their first send. */
  inFlight: number
  /** Smoothed size of an answer in bytes; undefined before the first one. */
  meanBytes: number | undefined
}

const sizeSmoothing = 0.1
/** Part of the time until its deadline in which the link must deliver an answer; the rest is for the server's work and for small answers. */
const deliveryFraction = 0.7

export function createLargeAnswerDemand (): LargeAnswerDemand {
  return { inFlight: 0, meanBytes: undefined }
}

/** Records the size of a complete answer. */
export function recordLargeAnswerSize (demand: LargeAnswerDemand, bytes: number): void {
  const { meanBytes = bytes } = demand
  demand.meanBytes = meanBytes + (bytes - meanBytes) * sizeSmoothing
}

/**
 * Returns the time until another large answer can be delivered by its deadline; 0 if it can be now.
 *
 * @param bytesPerMs rate of all large answers together
 * @param remainingMs time until the deadline of the request
 */
export function computeDeliveryExcess ({ inFlight, meanBytes }: LargeAnswerDemand, bytesPerMs: number, remainingMs: Millis): Millis {
  if (meanBytes === undefined) return 0
  return Math.max(0, (inFlight + 1) * meanBytes / bytesPerMs - remainingMs * deliveryFraction)
}
