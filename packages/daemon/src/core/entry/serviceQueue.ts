/** Slots, and the queue of requests of one service that wait for them at this VM. */
import type { Millis, ResourceId } from '@lynxcourse/base'
import type { DeadlineQueue, LimitGate, ObservedServer, CompletionRate, PassedOverRegion, CandidateRegion, RouteRequest, QueueItem } from '@lynxcourse/routing'

/** A slot at a backend server, acquired for one attempt. */
export interface Slot {
  readonly observed: ObservedServer
  readonly place: CandidateRegion
  /** Capped resources that the attempt uses. */
  readonly resources: readonly ResourceId[]
  /** Preferred regions that were passed over, with the reasons. */
  readonly passedOver: readonly PassedOverRegion[]
  readonly startedAt: Millis
}

/** Why no slot was acquired: the queue is full, the request cannot be served in time, or the caller disconnected. */
export type SlotFailure = 'full' | 'late' | 'gone'

/** A request that waits for a slot. */
export interface Waiter extends QueueItem {
  readonly request: RouteRequest
  readonly gate: LimitGate
  readonly resolve: (result: Slot | SlotFailure) => void
}

/** Requests of one service that wait at this VM. */
export interface ServiceQueue {
  readonly queue: DeadlineQueue<Waiter>
  readonly completionRate: CompletionRate
  /** Time of the last search for requests that cannot be served in time. */
  prunedAt: Millis
  /** Timer of the next check; undefined while none is scheduled. */
  timer: NodeJS.Timeout | undefined
}
