/** Slots, and the requests of one service that wait for them at this VM. */
import type { Millis, ResourceId } from '@lynxcourse/base'
import type { DeadlineQueue, LimitGate, Observed, Pace, PassedOver, Place, RouteRequest, Waiting } from '@lynxcourse/routing'

/** A slot at a backend server, held for one attempt. */
export interface Slot {
  readonly observed: Observed
  readonly place: Place
  readonly resources: readonly ResourceId[]
  readonly passedOver: readonly PassedOver[]
  readonly startedAt: Millis
}

/** Why no slot came. */
export type NoSlot = 'full' | 'late' | 'gone'

/** A request that waits for a slot. */
export interface Waiter extends Waiting {
  readonly request: RouteRequest
  readonly gate: LimitGate
  readonly resolve: (result: Slot | NoSlot) => void
}

/** Requests of one service that wait at this VM. */
export interface ServiceQueue {
  readonly queue: DeadlineQueue<Waiter>
  readonly pace: Pace
  /** When those who can't be served in time were last looked for. */
  prunedAt: Millis
  timer: NodeJS.Timeout | undefined
}
