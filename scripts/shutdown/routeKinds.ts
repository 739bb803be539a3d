/** The routes of the shutdown rig. */

export interface RouteKind {
  readonly name: string
  readonly path: string
  readonly isIdempotent: boolean
  readonly timeoutMs: number
  /** Time limits that callers name, in milliseconds. */
  readonly limitsMs: readonly number[]
}

/** Host of all routes. */
export const hostName = 'shutdown.example'

const shortLimitsMs = [800, 1500, 2500, 4000]

export const readRoute: RouteKind = { name: 'read', path: '/read/', isIdempotent: true, timeoutMs: 2500, limitsMs: shortLimitsMs }
export const orderRoute: RouteKind = { name: 'order', path: '/order/', isIdempotent: false, timeoutMs: 1500, limitsMs: shortLimitsMs }
/** The timeout is the longest one; a plan may have a shorter one. */
export const longReadRoute: RouteKind = { name: 'longRead', path: '/long/', isIdempotent: true, timeoutMs: 6000, limitsMs: [2500, 6000, 12_000] }
