/** The log's lines for what the leader makes of the load: region plans, servers left alone, weights. */
import type { RegionId, ServiceId } from '@lynxcourse/base'
import type { LoadUpdate } from '../../types/loads.js'
import type { LoadBoard } from './loadBoard.js'

/** A plan that moved by this much since its last line gets another one; it may move 1.2 % an exchange. */
const loggedStep = 0.02

/** One region's part of a plan, with what decided it. */
export interface PlanLine {
  readonly service: ServiceId
  readonly region: RegionId
  /** Part of the region's objects that stays in it. */
  readonly near: number
  /** Slots that the region's callers need where their objects are warm, smoothed. */
  readonly demand: number
  readonly slots: number
}

/** Regions whose plan moved enough for a line; they count as told. */
export function takePlanLines (board: LoadBoard): PlanLine[] {
  const lines: PlanLine[] = []
  for (const [service, plan] of board.plans) {
    for (const [region, shares] of plan) {
      const key = `${service} ${region}`
      const near = shares.get(region) ?? 0
      if (Math.abs(near - (board.told.get(key) ?? Infinity)) < loggedStep) continue
      board.told.set(key, near)
      lines.push({ service, region, near, demand: board.demand.get(key) ?? 0, slots: board.slots.get(key) ?? 0 })
    }
  }
  return lines
}

/** One line of the log. */
export interface NewsLine {
  readonly message: string
  readonly fields: Readonly<Record<string, string | number>>
}

/** Lines for what VMs are now told otherwise than before. */
export function newsLines (before: LoadUpdate, after: LoadUpdate): NewsLine[] {
  const lines: NewsLine[] = []
  const silent = after.silent.filter(id => !before.silent.includes(id))
  const tried = before.silent.filter(id => !after.silent.includes(id))
  if (silent.length > 0) lines.push({ message: 'Servers answer nobody.', fields: { servers: silent.join() } })
  if (tried.length > 0) lines.push({ message: 'Servers are tried again.', fields: { servers: tried.join() } })
  const { weights } = after
  if (weights !== undefined && weights.version !== before.weights?.version && weights.servers.length > 0) {
    const values = weights.servers.map(([, weight]) => weight)
    lines.push({ message: 'Weights told.', fields: { version: weights.version, servers: values.length, least: Math.min(...values), most: Math.max(...values) } })
  }
  return lines
}
