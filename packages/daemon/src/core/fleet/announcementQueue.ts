/**
 * Batches the announcements that a control VM receives, so that the leader commits many of them in one change.
 *
 * After a start or an election, hundreds of servers announce themselves at the same time. If each announcement is a
 * separate call, it costs the leader several milliseconds of processor time. The leader can't send heartbeats in time
 * and loses its followers, and its successor receives the same calls. The symptom is leaders that last about one second
 * each and calls that fail without a quorum. Announcements that arrive while a change is in flight form the next batch,
 * so a busier leader gets larger batches.
 */
import type { BackendAnnouncement, ChangeAnswer, Config } from '@lynxcourse/state'
import { hasBackendChanged } from '@lynxcourse/state'

/** Maximum number of announcements in one change; about 50 KB. */
const maxBatchSize = 200

interface PendingAnnouncement {
  readonly facts: BackendAnnouncement
  readonly resolve: () => void
  readonly reject: (err: unknown) => void
}

/** Announcements that wait while a change is in flight. */
export interface AnnouncementQueue {
  pending: PendingAnnouncement[]
  isSubmitting: boolean
}

export function createAnnouncementQueue (): AnnouncementQueue {
  return { pending: [], isSubmitting: false }
}

/** Submits announcements to the leader and waits until they are committed. */
export type SubmitAnnouncements = (servers: readonly BackendAnnouncement[]) => Promise<ChangeAnswer>

/**
 * Adds an announcement that changes the state to the next batch.
 *
 * @returns when the batch is committed
 * @throws LynxError if the outcome of the batch is unknown
 */
export async function enqueueAnnouncement (queue: AnnouncementQueue, config: () => Config, facts: BackendAnnouncement, submit: SubmitAnnouncements): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    queue.pending.push({ facts, resolve, reject })
    // Errors of a batch reject the promises of its announcements, so `submitPending` itself doesn't reject.
    if (!queue.isSubmitting) submitPending(queue, config, submit).catch(reject)
  })
}

async function submitPending (queue: AnnouncementQueue, config: () => Config, submit: SubmitAnnouncements): Promise<void> {
  queue.isSubmitting = true
  while (queue.pending.length > 0) await submitBatch(queue, config(), submit)
  queue.isSubmitting = false
}

async function submitBatch (queue: AnnouncementQueue, config: Config, submit: SubmitAnnouncements): Promise<void> {
  const batch = queue.pending.splice(0, maxBatchSize)
  try {
    // Another control VM may have committed the same announcement in the meantime.
    const changed = batch.filter(({ facts }) => hasBackendChanged(config, facts))
    if (changed.length > 0) await submit(changed.map(({ facts }) => facts))
    for (const { resolve } of batch) resolve()
  } catch (err) {
    for (const { reject } of batch) reject(err)
  }
}
