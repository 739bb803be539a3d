/** The log's lines for the region plans that the leader makes. */
import type { RegionId, ServiceId } from '@lynxcourse/base'
import type { LoadBoard } from './loadBoard.js'

/** A plan that moved by this much since its last line gets another one; it may move 1.2 % an exchange. */
const loggedStep = 0.02

/** One region's part of a plan, with what decided it. */
export interface PlanLine {
  readonly service: ServiceId
  readonly region: RegionId
  /** Part of the region's objects that stays in it. */
  readonly near: number
  /** Slots that the region's callers keep busy, smoothed. */
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
