/** Generates and runs the cells of the fault matrix: every fault at every step, and pairs of faults. */
import { brandId } from '@lynxcourse/base'
import type { DrainId } from '@lynxcourse/base'
import { scheduleAt } from '@lynxcourse/base/timeline'
import { isLeaseValid } from '@lynxcourse/membership'
import { findItem } from '@lynxcourse/state'
import { recordViolation } from './checks.js'
import { isLeader } from './controlLog.js'
import { faultKinds, healMs, loseDisk } from './faultKinds.js'
import type { FaultKind } from './faultKinds.js'
import { steps } from '../types/world.js'
import type { Guard, Step } from '../types/world.js'
import type { Host } from './network.js'
import { buildScene, runFor, startLoad, startDrainAndShift } from './scene.js'
import type { Scene } from './scene.js'

/** A cell of the matrix: the faults that are injected at a step. */
export interface Cell {
  readonly step: Step
  readonly faults: readonly string[]
}

export interface CellResult {
  readonly cell: Cell
  readonly seed: number
  /** Whether the step was reached and all faults were injected. */
  readonly wasInjected: boolean
  readonly violations: readonly string[]
  /** Whether a majority of disks was lost at once. Safety holds, but the cluster is stopped until operators create a new one. */
  readonly lacksQuorum: boolean
  readonly requests: number
  readonly accepted: number
}

const warmUpMs = 2500
const recoveryMs = 4000
const betweenFaultsMs = 250

/** Returns a cell for each step and fault. */
export function singleCells (): Cell[] {
  return steps.flatMap(step => faultKinds.map(fault => ({ step, faults: [fault.name] })))
}

/** Returns a cell for each step and ordered pair of faults; the second fault follows soon after the first. */
export function pairCells (): Cell[] {
  return steps.flatMap(step => faultKinds.flatMap(first => faultKinds.map(second => ({ step, faults: [first.name, second.name] }))))
}

function findFaultKind (name: string): FaultKind {
  const kind = faultKinds.find(fault => fault.name === name)
  if (kind === undefined) throw new Error(`no fault '${name}'`)
  return kind
}

/**
 * Runs one cell.
 *
 * @param without guards that are disabled, to show that the checks can fail
 */
export function runCell (cell: Cell, seed: number, disabledGuards: readonly Guard[] = []): CellResult {
  const scene = buildScene(seed, disabledGuards)
  startLoad(scene)
  runFor(scene, warmUpMs)
  const areFaultsInjected = armFaults(scene, cell)
  startDrainAndShift(scene)
  if (cell.step === 'repair') startRepair(scene)
  runFor(scene, healMs * cell.faults.length + warmUpMs)
  const acceptedBefore = scene.world.checks.accepted
  const grantedBefore = scene.world.checks.granted
  runFor(scene, recoveryMs)
  checkRecovery(scene, acceptedBefore, grantedBefore)
  scene.stopped = true
  runFor(scene, warmUpMs)
  checkAllAnswered(scene)
  const { checks } = scene.world
  return { cell, seed, wasInjected: areFaultsInjected(), violations: checks.violations, lacksQuorum: checks.majorityLost, requests: checks.requests.size, accepted: checks.accepted }
}

function armFaults (scene: Scene, cell: Cell): () => boolean {
  const { network, armedFaults } = scene.world
  let count = 0
  const injectAll = (host: Host): void => {
    cell.faults.forEach((name, index) => {
      const inject = (): void => {
        count += 1
        findFaultKind(name).inject(scene, host)
      }
      // The first fault is injected within the step, before the rest of the call that reached it.
      if (index === 0) inject()
      else scheduleAt(network, network.now + index * betweenFaultsMs, inject)
    })
  }
  // A rare step gets its fault when it is first reached, a frequent one at one of the first three times.
  const isRare = cell.step === 'repair' || cell.step === 'shiftStep' || cell.step === 'drainStep'
  armedFaults.push({ step: cell.step, left: isRare ? 1 : 1 + Math.floor(network.random() * 3), inject: injectAll })
  return () => count === cell.faults.length
}

/** Starts a repair: a follower loses its disk. */
function startRepair (scene: Scene): void {
  const follower = scene.world.controls.find(control => !isLeader(control))
  if (follower !== undefined) loseDisk(scene, follower)
}

/** Checks that the system has recovered: changes are accepted, claims are granted, and every entry VM has a valid lease. */
function checkRecovery (scene: Scene, acceptedBefore: number, grantedBefore: number): void {
  const { world } = scene
  if (world.checks.majorityLost) return
  if (world.checks.accepted <= acceptedBefore) recordViolation(world, 'no change is accepted after healing')
  if (world.checks.granted <= grantedBefore) recordViolation(world, 'no claim is granted after healing')
  for (const entry of world.entries) {
    if (!isLeaseValid(entry.configLease, world.network.now)) recordViolation(world, `${entry.vm} has no valid configuration lease after healing`)
  }
  const leader = world.controls.find(isLeader)
  const drain = leader === undefined ? undefined : findItem(leader.machine.config, 'drain', brandId<DrainId>('d1'))
  if (drain !== undefined && drain.state !== 'drained') recordViolation(world, `the drain is ${drain.state} after healing`)
}

/** Checks that every copy got exactly one answer if its VM did not die. */
function checkAllAnswered (scene: Scene): void {
  const { world } = scene
  for (const tracked of world.checks.requests.values()) {
    if (tracked.outcomes.length > tracked.copies) recordViolation(world, `request ${tracked.id} has too many answers`)
  }
  for (const copy of world.checks.open) {
    if (copy.isAlive() && !copy.isEnded()) recordViolation(world, `a copy of request ${copy.id} got no answer`)
  }
}
