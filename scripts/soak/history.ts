/** What callers, servers and operators saw in a soak. */

/** How an attempt ended for its caller. */
export type AttemptEnd =
  | { readonly type: 'answer', readonly status: number, readonly isWhole: boolean }
  | { readonly type: 'closed', readonly detail: string }
  | { readonly type: 'timeout' }
  /** Its caller closed the connection before the answer, of its own will or since the VM had not read the request. */
  | { readonly type: 'left', readonly why: 'early' | 'unread' }

/** One request that a caller sent, under an id of its own. */
export interface Attempt {
  readonly id: string
  readonly entry: string
  readonly path: string
  readonly isIdempotent: boolean
  readonly sentAt: number
  /** When its caller leaves if it has no answer by then; undefined for one that waits. */
  readonly leavesAfterMs: number | undefined
  endedAt: number | undefined
  end: AttemptEnd | undefined
}

/** One request as a server began to work on it. */
export interface Run {
  readonly id: string
  readonly path: string
  readonly body: string
  readonly server: string
  readonly service: string
  readonly failureDomain: string
  readonly at: number
  /** When the server had read it, before it waited for a slot. */
  readonly readAt: number
  /** What the VM told of the time that is left; undefined if it told nothing. */
  readonly leftMs: number | undefined
  /** How long the work lasts if nothing ends it. */
  readonly workMs: number
  /** When the work ended, with or without an answer. */
  endedAt: number | undefined
  /** When its connection closed before the whole answer was sent. */
  cutAt: number | undefined
}

/** One request as it came to the server that it was for, whether that one ran it or not. */
export interface Arrival {
  readonly id: string
  readonly server: string
  readonly service: string
  readonly at: number
}

/** Something that was confirmed and binds from then on. */
export interface Confirmed {
  readonly type: 'drain' | 'evacuate' | 'readmit' | 'change'
  /** Server, failure domain, or the service that the probing route leads to. */
  readonly subject: string
  readonly at: number
  /** When the order was sent for the first time. */
  readonly sentAt: number
  readonly version: number
}

/** A disturbance of one VM or server; `core` for those of any control VM. */
export interface InjectedFault {
  readonly subject: string
  readonly kind: string
  readonly from: number
  readonly until: number
}

/** A read of the routes that was answered. */
export interface RouteRead { readonly sentAt: number, readonly version: number }

export interface SoakHistory {
  readonly attempts: Map<string, Attempt>
  readonly runs: Run[]
  readonly arrivals: Arrival[]
  readonly confirmed: Confirmed[]
  readonly disturbances: InjectedFault[]
  readonly reads: RouteRead[]
  /** What went wrong as it happened: processes that ended by themselves, two orders accepted on one base. */
  readonly recordedViolations: string[]
}

/** Bounds of the promises, in milliseconds. */
export const bounds = {
  /** Disturbed VMs owe the promises with a time bound again after this. */
  vmRecoveryMs: 4000,
  /** A server whose links were disturbed counts again after this. */
  linkRecoveryMs: 3000,
  drainMs: 2500,
  evacuateMs: 5000,
  changeMs: 2500,
  /** Timeout of the soak's routes, and how much later a final answer may come. */
  timeoutMs: 1500,
  graceMs: 500,
  /** How long after its caller's close a request may reach a server or be worked on, and how many may reach one later. */
  abandonedMs: 500,
  maxLateArrivals: 3,
  /** Most servers at which one request of the soak's routes may run. */
  maxAttempts: 2,
  /** As in the VMs' settings by default. */
  retryBudget: { ratio: 0.2, windowMs: 10_000, slack: 50 }
}

export function createHistory (): SoakHistory {
  return { attempts: new Map(), runs: [], arrivals: [], confirmed: [], disturbances: [], reads: [], recordedViolations: [] }
}

/** Whether a VM was in touch at a moment: neither it nor the control VMs were disturbed of late. */
export function isVmFaultFree (history: SoakHistory, vm: string, at: number): boolean {
  return isFaultFree(history, vm, at, bounds.vmRecoveryMs) && isFaultFree(history, 'core', at, bounds.vmRecoveryMs)
}

/** Whether nothing disturbed a VM or a server of late. */
export function isFaultFree (history: SoakHistory, target: string, at: number, recoveryMs: number): boolean {
  return !history.disturbances.some(({ subject, from, until }) => subject === target && from <= at && at <= until + recoveryMs)
}

/** Path of the route that changes move from service to service. */
export const probePath = '/probe/'

/** Path of requests whose work lasts long. */
export const longPath = '/read/long'

/** Share of the attempts sent in a span that were answered with a success; those whose caller may leave early are left out. */
export function measureServedShare (history: SoakHistory, from: number, until: number): { readonly share: number, readonly sent: number } {
  const sent = [...history.attempts.values()].filter(attempt => attempt.leavesAfterMs === undefined && attempt.sentAt >= from && attempt.sentAt < until)
  const served = sent.filter(attempt => attempt.end?.type === 'answer' && attempt.end.status === 200)
  return { share: sent.length === 0 ? 0 : served.length / sent.length, sent: sent.length }
}
