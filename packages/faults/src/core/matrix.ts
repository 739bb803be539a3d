/** The fault matrix: every fault at every step, and pairs of faults. One generator for all cells. */
import { brandId } from '@lynxcourse/base'
import type { DrainId } from '@lynxcourse/base'
import { scheduleAt } from '@lynxcourse/base/timeline'
import { isLeaseValid } from '@lynxcourse/membership'
import { findItem } from '@lynxcourse/state'
import { violate } from './checks.js'
import { leadsNow } from './controlLog.js'
import { faultKinds, healMs, loseDisk } from './faultKinds.js'
import type { FaultKind } from './faultKinds.js'
import { steps } from '../types/world.js'
import type { Guard, Step } from '../types/world.js'
import type { Host } from './network.js'
import { buildScene, runFor, startLoad, startMoves } from './world.js'
import type { Scene } from './world.js'

/** One cell: faults that strike at a step. */
export interface Cell {
  readonly step: Step
  readonly faults: readonly string[]
}

export interface CellResult {
  readonly cell: Cell
  readonly seed: number
  /** Whether the step was passed and the faults struck. */
  readonly wasInjected: boolean
  readonly violations: readonly string[]
  /** A majority of disks was lost at once: safe, but it stands still until operators found it anew. */
  readonly lacksQuorum: boolean
  readonly requests: number
  readonly accepted: number
}

const warmUpMs = 2500
const afterMs = 4000
const betweenFaultsMs = 250

/** All cells of one fault each. */
export function singleCells (): Cell[] {
  return steps.flatMap(step => faultKinds.map(fault => ({ step, faults: [fault.name] })))
}

/** All cells of two faults, one soon after the other. */
export function pairCells (): Cell[] {
  return steps.flatMap(step => faultKinds.flatMap(first => faultKinds.map(second => ({ step, faults: [first.name, second.name] }))))
}

function kindOf (name: string): FaultKind {
  const kind = faultKinds.find(fault => fault.name === name)
  if (kind === undefined) throw new Error(`no fault '${name}'`)
  return kind
}

/**
 * Runs one cell.
 *
 * @param without guards to take out, to see the checks fail
 */
export function runCell (cell: Cell, seed: number, without: readonly Guard[] = []): CellResult {
  const scene = buildScene(seed, without)
  startLoad(scene)
  runFor(scene, warmUpMs)
  const struck = armFaults(scene, cell)
  startMoves(scene)
  if (cell.step === 'repair') startRepair(scene)
  runFor(scene, healMs * cell.faults.length + warmUpMs)
  const acceptedBefore = scene.world.checks.accepted
  const grantedBefore = scene.world.checks.granted
  runFor(scene, afterMs)
  checkAlive(scene, acceptedBefore, grantedBefore)
  scene.stopped = true
  runFor(scene, warmUpMs)
  checkAllAnswered(scene)
  const { checks } = scene.world
  return { cell, seed, wasInjected: struck(), violations: checks.violations, lacksQuorum: checks.majorityLost, requests: checks.requests.size, accepted: checks.accepted }
}

function armFaults (scene: Scene, cell: Cell): () => boolean {
  const { network, armed } = scene.world
  let count = 0
  const strikeAll = (host: Host): void => {
    cell.faults.forEach((name, place) => {
      const strike = (): void => {
        count += 1
        kindOf(name).strike(scene, host)
      }
      // The first fault strikes within the step, before what follows it in the same call.
      if (place === 0) strike()
      else scheduleAt(network, network.now + place * betweenFaultsMs, strike)
    })
  }
  // Rare steps are struck at the first chance, frequent ones somewhere among the first.
  const isRare = cell.step === 'repair' || cell.step === 'shiftStep' || cell.step === 'drainStep'
  armed.push({ step: cell.step, left: isRare ? 1 : 1 + Math.floor(network.random() * 3), strike: strikeAll })
  return () => count === cell.faults.length
}

/** A repair needs something to repair: a follower loses its disk. */
function startRepair (scene: Scene): void {
  const follower = scene.world.controls.find(control => !leadsNow(control))
  if (follower !== undefined) loseDisk(scene, follower)
}

/** After all has healed the system works: changes are accepted, claims granted, every VM is current. */
function checkAlive (scene: Scene, acceptedBefore: number, grantedBefore: number): void {
  const { world } = scene
  if (world.checks.majorityLost) return
  if (world.checks.accepted <= acceptedBefore) violate(world, 'no change is accepted after healing')
  if (world.checks.granted <= grantedBefore) violate(world, 'no claim is granted after healing')
  for (const entry of world.entries) {
    if (!isLeaseValid(entry.currency, world.network.now)) violate(world, `${entry.vm} is not current after healing`)
  }
  const leader = world.controls.find(leadsNow)
  const drain = leader === undefined ? undefined : findItem(leader.machine.config, 'drain', brandId<DrainId>('d1'))
  if (drain !== undefined && drain.state !== 'drained') violate(world, `the drain is ${drain.state} after healing`)
}

/** Every copy handed to a VM that lives on has exactly one answer. */
function checkAllAnswered (scene: Scene): void {
  const { world } = scene
  for (const tracked of world.checks.requests.values()) {
    if (tracked.told.length > tracked.copies) violate(world, `request ${tracked.id} has too many answers`)
  }
  for (const copy of world.checks.open) {
    if (copy.isAlive() && !copy.isEnded()) violate(world, `a copy of request ${copy.id} got no answer`)
  }
}
