/** The history of a soak run: what callers, servers and operators observed, and the injected faults. */

import { isOwed } from './sentKey.js'
import type { SentKey } from './sentKey.js'

/** How an attempt ended for its caller. */
export type AttemptEnd =
  | { readonly type: 'answer', readonly status: number, readonly isWhole: boolean }
  | { readonly type: 'closed', readonly detail: string }
  | { readonly type: 'timeout' }
  /** The caller closed the connection before the answer: after a drawn delay, or because the VM had not read the request. */
  | { readonly type: 'left', readonly why: 'early' | 'unread' }

/** One request that a caller sent; the id is unique. */
export interface Attempt {
  readonly id: string
  readonly entry: string
  readonly path: string
  readonly isIdempotent: boolean
  readonly sentKey: SentKey
  readonly sentAt: number
  /** Time after which the caller closes the connection without an answer; undefined if the caller waits. */
  readonly leavesAfterMs: number | undefined
  endedAt: number | undefined
  end: AttemptEnd | undefined
}

/** One request that a server started to process. */
export interface Run {
  readonly id: string
  readonly path: string
  readonly body: string
  readonly server: string
  readonly service: string
  readonly failureDomain: string
  /** The caller's team, as the VM told it; undefined if it told none. */
  readonly team: string | undefined
  /** All headers of the request. */
  readonly headerText: string
  readonly at: number
  /** When the server had read the whole request, before the request waited for a slot. */
  readonly readAt: number
  /** Remaining time that the VM sent with the request; undefined if it sent none. */
  readonly leftMs: number | undefined
  /** Processing time if nothing interrupts it. */
  readonly workMs: number
  /** Whether its answer says that the server leaves. */
  saysLeaving: boolean
  /** When processing ended, with or without an answer. */
  endedAt: number | undefined
  /** When the connection closed, if that was before the whole answer was sent. */
  cutAt: number | undefined
}

/** One request that reached the intended server, whether the server ran it or not. */
export interface Arrival {
  readonly id: string
  readonly server: string
  readonly service: string
  readonly at: number
}

/** An operation that was confirmed and is binding from then on. */
export interface Confirmed {
  readonly type: 'drain' | 'evacuate' | 'readmit' | 'change'
  /** Server, failure domain, or the service that the probe route points to. */
  readonly subject: string
  readonly at: number
  /** When the operation was first sent. */
  readonly sentAt: number
  readonly version: number
}

/** A fault injected at one VM or server; faults of any control VM are also recorded for the subject `core`. */
export interface InjectedFault {
  readonly subject: string
  readonly kind: string
  readonly from: number
  readonly until: number
}

/** A time in which a server named a limit for the requests of all VMs together. */
export interface LimitPeriod {
  readonly server: string
  readonly perSecond: number
  readonly from: number
  /** Infinity until the server names the limit no more. */
  until: number
}

/** An answer in which a server turned a VM away and asked it for no requests for a time. */
export interface PauseRequest {
  /** The request that was turned away. */
  readonly id: string
  readonly server: string
  readonly at: number
  readonly forMs: number
}

/** An answered read of the routes. */
export interface RouteRead { readonly sentAt: number, readonly version: number }

export interface SoakHistory {
  readonly attempts: Map<string, Attempt>
  readonly runs: Run[]
  readonly arrivals: Arrival[]
  readonly confirmed: Confirmed[]
  readonly disturbances: InjectedFault[]
  readonly reads: RouteRead[]
  readonly limits: LimitPeriod[]
  readonly pauses: PauseRequest[]
  /** Violations detected during the run: for example a process that exited by itself, or two changes accepted on one base. */
  readonly recordedViolations: string[]
}

/** Bounds of the promises. */
export const bounds = {
  /** Time after a fault of a VM before promises with a time bound apply to it again. */
  vmRecoveryMs: 4000,
  /** Time after a fault of a server before drains, evacuations and changes are checked there again. */
  linkRecoveryMs: 3000,
  drainMs: 2500,
  evacuateMs: 5000,
  changeMs: 2500,
  /** Timeout of the routes, and how much later a final answer may arrive. */
  timeoutMs: 1500,
  graceMs: 500,
  /** How long after its caller's close a request may reach a server or keep running, and how many may reach one later. */
  abandonedMs: 500,
  maxLateArrivals: 3,
  /** Servers that may end under one request before it counts as crashing; runs after `vmRecoveryMs` from then on. */
  toleratedCrashes: 3,
  maxLateCrashes: 3,
  /** Maximum number of servers at which one request may run. */
  maxAttempts: 2,
  /** Rate limit of the limited team, and the window in which the VMs' default settings allow no more. */
  teamRate: { ratePerSecond: 4, burst: 8 },
  teamRateWindowMs: 5000,
  /**
   * Requests that a server with a limit may get in a window from VMs that have passed on an answer with it for a while: this
   * multiple of what the limit allows, and some more.
   */
  serverLimit: { windowMs: 4000, overage: 1.5, slack: 5, learningMs: 500 },
  /** Requests that a VM may send to a server within a pause, from some time after the refusal that asked for it. */
  serverPause: { learningMs: 500, maxStrays: 2 },
  /** The default of the VMs' settings. */
  retryBudget: { ratio: 0.2, windowMs: 10_000, slack: 50 }
}

export function createHistory (): SoakHistory {
  return { attempts: new Map(), runs: [], arrivals: [], confirmed: [], disturbances: [], reads: [], limits: [], pauses: [], recordedViolations: [] }
}

/** Returns whether neither the VM nor the control VMs had a recent fault at a given time. */
export function isVmFaultFree (history: SoakHistory, vm: string, at: number): boolean {
  return isFaultFree(history, vm, at, bounds.vmRecoveryMs) && isFaultFree(history, 'core', at, bounds.vmRecoveryMs)
}

/** Returns whether a VM or a server had no fault at a given time, and none within the recovery time before it. */
export function isFaultFree (history: SoakHistory, target: string, at: number, recoveryMs: number): boolean {
  return !history.disturbances.some(({ subject, from, until }) => subject === target && from <= at && at <= until + recoveryMs)
}

/** Path of the route that route changes move between the services. */
export const probePath = '/probe/'

/** Path of requests with a long processing time. */
export const longPath = '/read/long'

/** Path of a request that ends each server that runs it. */
export const crashPath = '/read/crash'

/** Measures the share of attempts sent in a period that succeeded; attempts whose caller may leave early, those that end servers and those whose key may be refused are excluded. */
export function measureServedShare (history: SoakHistory, from: number, until: number): { readonly share: number, readonly sent: number } {
  const sent = [...history.attempts.values()].filter(attempt => attempt.leavesAfterMs === undefined && attempt.path !== crashPath && isOwed(attempt) && attempt.sentAt >= from && attempt.sentAt < until)
  const served = sent.filter(attempt => attempt.end?.type === 'answer' && attempt.end.status === 200)
  return { share: sent.length === 0 ? 0 : served.length / sent.length, sent: sent.length }
}
