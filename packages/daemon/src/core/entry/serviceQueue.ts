/** Slots, and the requests of one service that wait for them at this VM. */
import type { Millis, ResourceId } from '@lynxcourse/base'
import type { DeadlineQueue, LimitGate, ObservedServer, CompletionRate, PassedOverRegion, CandidateRegion, RouteRequest, QueueItem } from '@lynxcourse/routing'

/** A slot at a backend server, held for one attempt. */
export interface Slot {
  readonly observed: ObservedServer
  readonly place: CandidateRegion
  readonly resources: readonly ResourceId[]
  readonly passedOver: readonly PassedOverRegion[]
  readonly startedAt: Millis
}

/** Why no slot came. */
export type NoSlot = 'full' | 'late' | 'gone'

/** A request that waits for a slot. */
export interface Waiter extends QueueItem {
  readonly request: RouteRequest
  readonly gate: LimitGate
  readonly resolve: (result: Slot | NoSlot) => void
}

/** Requests of one service that wait at this VM. */
export interface ServiceQueue {
  readonly queue: DeadlineQueue<Waiter>
  readonly pace: CompletionRate
  /** When those who can't be served in time were last looked for. */
  prunedAt: Millis
  timer: NodeJS.Timeout | undefined
}
