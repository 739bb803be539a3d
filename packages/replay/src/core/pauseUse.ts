/** How well the entry VMs keep the pauses that one server asks for. */
import type { Millis } from '@lynxcourse/base'

interface Pause {
  readonly from: Millis
  readonly until: Millis
  requests: number
}

/** Pauses by entry VM, and the largest number of requests that a VM sent in one of them. */
export interface PauseUse {
  readonly byVm: Map<string, Pause[]>
  mostRequests: number
}

/** Time after a refusal in which requests that are under way may still arrive. */
const learningMs: Millis = 500

export function createPauseUse (): PauseUse {
  return { byVm: new Map(), mostRequests: 0 }
}

/** Records that the server turned a VM away and asked it for a pause. */
export function recordTurnedAway ({ byVm }: PauseUse, vm: string, forMs: Millis, now: Millis): void {
  const pauses = (byVm.get(vm) ?? []).filter(({ until }) => until > now)
  byVm.set(vm, [...pauses, { from: now + learningMs, until: now + forMs, requests: 0 }])
}

/** Counts a request of a VM in the pauses for which the server had asked it. */
export function countPausedRequest (use: PauseUse, vm: string, now: Millis): void {
  for (const pause of use.byVm.get(vm) ?? []) {
    if (now <= pause.from || now >= pause.until) continue
    pause.requests += 1
    use.mostRequests = Math.max(use.mostRequests, pause.requests)
  }
}
