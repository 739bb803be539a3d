/** Limits on what a version that turns out to be bad may get, as the operators' settings state them. */
import type { Millis } from '@lynxcourse/base'

export interface RolloutBounds {
  /** Fraction of a service's requests that a bad version may get between the order and the end of its duration. */
  readonly exposureFraction: number
  /** Requests that a bad version may get beyond that, over all VMs. */
  readonly exposureSlack: number
  /** Time after its 50th bad answer from which a bad version gets no requests. */
  readonly rollbackMs: Millis
}
