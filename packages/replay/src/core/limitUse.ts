/** How well the entry VMs keep and use the limits that servers name. */
import type { Millis } from '@lynxcourse/base'
import type { Backend } from './backendModel.js'

/** Use of the limits of all servers that named one. */
export interface LimitUse {
  /** Requests that the limits allow on the mean, and requests that arrived. */
  allowed: number
  used: number
  /** Largest number of requests in one window at one server, as a multiple of the bound. */
  maxWindowPart: number
}

/** Time after which all entry VMs know of a limit. */
const learningMs: Millis = 5000
/** The bound of a window: this multiple of what the limit allows, and some requests more. */
const windowMs: Millis = 4000
const overage = 1.5
const slackRequests = 5

export function createLimitUse (): LimitUse {
  return { allowed: 0, used: 0, maxWindowPart: 0 }
}

/** Adds the requests that a server got while it named a limit. */
export function recordLimitUse (use: LimitUse, { limit, limitedArrivals }: Backend, limitedSince: Millis, now: Millis): void {
  if (limit === undefined) return
  const from = limitedSince + learningMs
  const arrivals = limitedArrivals.filter(at => at >= from)
  use.allowed += limit * Math.max(0, now - from) / 1000
  use.used += arrivals.length
  use.maxWindowPart = Math.max(use.maxWindowPart, countBusiestWindow(arrivals) / (limit * windowMs / 1000 * overage + slackRequests))
}

/** Returns the most arrivals in one window; the arrivals are in order. */
function countBusiestWindow (arrivals: readonly Millis[]): number {
  let most = 0
  let first = 0
  arrivals.forEach((at, index) => {
    while (at - (arrivals[first] ?? at) >= windowMs) first += 1
    most = Math.max(most, index - first + 1)
  })
  return most
}
