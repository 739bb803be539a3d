/**
 * Gathers the announcements that a control VM takes, so that the leader gets them together.
 *
 * What can go wrong: hundreds of servers announce themselves at one moment, after a start or once there is a leader again. Each
 * announcement as a call of its own takes several milliseconds of the leader's processor; it falls silent for its followers, loses
 * the lead, and the next one meets the same calls. It shows as leaders that last for a second each and calls that end without a
 * quorum. While one change is under way, what comes meanwhile waits for the next one: the busier the leader, the more it gets at once.
 */
import type { BackendAnnouncement, ChangeAnswer, Config } from '@lynxcourse/state'
import { hasBackendChanged } from '@lynxcourse/state'

/** Most announcements in one change; about 50 KB. */
const mostTogether = 200

interface Waiting {
  readonly facts: BackendAnnouncement
  readonly resolve: () => void
  readonly reject: (err: unknown) => void
}

/** Announcements that wait for the change that is under way. */
export interface Announcing {
  waiting: Waiting[]
  isSubmitting: boolean
}

export function createAnnouncing (): Announcing {
  return { waiting: [], isSubmitting: false }
}

/** Has the leader commit announcements. */
export type SubmitAnnouncements = (servers: readonly BackendAnnouncement[]) => Promise<ChangeAnswer>

/**
 * Adds an announcement with news to the next change.
 *
 * @returns once it is committed
 * @throws LynxError when the outcome of that change is not known
 */
export async function announceTogether (announcing: Announcing, config: () => Config, facts: BackendAnnouncement, submit: SubmitAnnouncements): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    announcing.waiting.push({ facts, resolve, reject })
    // It never rejects: whoever waits for a change gets its error.
    if (!announcing.isSubmitting) submitWaiting(announcing, config, submit).catch(reject)
  })
}

async function submitWaiting (announcing: Announcing, config: () => Config, submit: SubmitAnnouncements): Promise<void> {
  announcing.isSubmitting = true
  while (announcing.waiting.length > 0) await submitNext(announcing, config(), submit)
  announcing.isSubmitting = false
}

async function submitNext (announcing: Announcing, config: Config, submit: SubmitAnnouncements): Promise<void> {
  const taken = announcing.waiting.splice(0, mostTogether)
  try {
    // Another control VM may have taken the same server's word meanwhile.
    const news = taken.filter(({ facts }) => hasBackendChanged(config, facts))
    if (news.length > 0) await submit(news.map(({ facts }) => facts))
    for (const { resolve } of taken) resolve()
  } catch (err) {
    for (const { reject } of taken) reject(err)
  }
}
