/** Log lines for the leader's decisions about load: region plans, silent servers, weights. */
import type { RegionId, ServiceId } from '@lynxcourse/base'
import type { LoadUpdate } from '../../types/loads.js'
import type { LoadBoard } from './boardState.js'

/** Change of a region's share that is logged again. A plan changes by up to 1.2 % per exchange. */
const minLoggedChange = 0.02

/** One region's share of a plan, with the values that it follows from. */
export interface PlanLogLine {
  readonly service: ServiceId
  readonly region: RegionId
  /** Fraction of the region's objects that stays in it. */
  readonly near: number
  /** Smoothed slots that the region's callers need if their objects are warm. */
  readonly demand: number
  readonly slots: number
}

/** Returns the regions whose plan changed enough for a new log line, and records their shares as logged. */
export function flushPlanLines (board: LoadBoard): PlanLogLine[] {
  const lines: PlanLogLine[] = []
  for (const [service, plan] of board.plans) {
    for (const [region, shares] of plan) {
      const key = `${service} ${region}`
      const near = shares.get(region) ?? 0
      if (Math.abs(near - (board.loggedShares.get(key) ?? Infinity)) < minLoggedChange) continue
      board.loggedShares.set(key, near)
      lines.push({ service, region, near, demand: board.demand.get(key) ?? 0, slots: board.slots.get(key) ?? 0 })
    }
  }
  return lines
}

/** One line of the log. */
export interface LogLine {
  readonly message: string
  readonly fields: Readonly<Record<string, string | number>>
}

/** Returns the log lines for the differences between two updates. */
export function describeLoadChanges (before: LoadUpdate, after: LoadUpdate): LogLine[] {
  const lines: LogLine[] = []
  const silent = after.silent.filter(id => !before.silent.includes(id))
  const retried = before.silent.filter(id => !after.silent.includes(id))
  if (silent.length > 0) lines.push({ message: 'Servers answer no VM.', fields: { servers: silent.join() } })
  if (retried.length > 0) lines.push({ message: 'Silent servers are tried again.', fields: { servers: retried.join() } })
  const { weights } = after
  if (weights !== undefined && weights.version !== before.weights?.version && weights.servers.length > 0) {
    const values = weights.servers.map(([, weight]) => weight)
    lines.push({ message: 'Server weights published.', fields: { version: weights.version, servers: values.length, least: Math.min(...values), most: Math.max(...values) } })
  }
  return lines
}
