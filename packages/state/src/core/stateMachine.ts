/** The state machine that the replicated log drives: equal logs produce equal states on every replica. */
import type { Entry } from '@lynxcourse/agreement'
import { getErrorMessage } from '@lynxcourse/base'
import type { Chart, ChangeId, Millis, RequestId, ResourceId } from '@lynxcourse/base'
import type { CommandAnswer, Change, ChangeAnswer, Command } from '../types/commands.js'
import type { ProfileItem, VersionedItem } from '../types/items.js'
import type { RouteChangeId } from '../types/routes.js'
import { dropOldest } from '../utils/dropOldest.js'
import { applyAllocations, createAllocations } from './allocations.js'
import type { Allocation, Allocations } from './allocations.js'
import { getCap } from './caps.js'
import { advanceDrain, advanceShift, applyChange } from './changes.js'
import type { ChangeCharts } from './changes.js'
import { applyClaim, createClaimRegister, restoreClaimRegister, applySettle } from './claims.js'
import type { ClaimRecord, ClaimRegister } from './claims.js'
import { createConfig, findItem } from './config.js'
import type { Config } from './config.js'
import { applyCrashCommand, isCrashCommand, restoreCrashRegister, serializeCrashRegister } from './crashingRequests.js'
import type { CrashRegister, StoredEnds } from './crashingRequests.js'
import { applyRolloutCommand, followRouteCommand, isRolloutCommand } from './rollouts.js'
import { applyRouteCommand, isRouteCommand } from './routeChanges.js'
import type { AcceptedRouteChanges } from './routeChanges.js'

/** Maximum number of answers to changes that are kept for resends: two days at 9,800 changes a day. */
export const maxStoredAnswers = 20_000

/** Maximum number of versions kept in the history of a profile. */
export const maxProfileHistory = 20

/** State charts that the state machine follows. */
export interface StateMachineCharts extends ChangeCharts {
  readonly claim: Chart
  readonly crashingRequest: Chart
  readonly rollout: Chart
}

export interface StateMachine {
  readonly charts: StateMachineCharts
  applied: number
  config: Config
  claims: ClaimRegister
  allocations: Allocations
  answers: Map<ChangeId, ChangeAnswer>
  orders: AcceptedRouteChanges
  crashes: CrashRegister
  history: Map<string, ProfileItem[]>
}

export function createStateMachine (charts: StateMachineCharts): StateMachine {
  return {
    charts,
    applied: 0,
    config: createConfig(),
    claims: createClaimRegister(charts.claim),
    allocations: createAllocations(),
    answers: new Map(),
    orders: new Map(),
    crashes: new Map(),
    history: new Map()
  }
}

/**
 * Applies a committed entry of the log and returns the answer for the VM that proposed it.
 *
 * A command that can't be applied must not stop the replica: every replica has it in its log, and would stop again after
 * each restart.
 */
export function applyEntry (machine: StateMachine, entry: Entry): CommandAnswer {
  machine.applied = entry.index
  if (entry.body.type !== 'command') return { type: 'none' }
  try {
    return applyCommand(machine, entry.body.command as Command, entry.index, entry.at)
  } catch (err) {
    return { type: 'failed', detail: getErrorMessage(err) }
  }
}

function applyCommand (machine: StateMachine, command: Command, version: number, at: Millis): CommandAnswer {
  if (isRouteCommand(command)) {
    const change = applyRouteCommand(machine.config, machine.orders, command, version)
    if (change.ok) followRouteCommand(machine.config, machine.charts.rollout, command, version)
    return { type: 'change', change }
  }
  if (isRolloutCommand(command)) {
    return { type: 'change', change: applyRolloutCommand(machine.config, machine.charts.rollout, command, version, at) }
  }
  if (isCrashCommand(command)) {
    return { type: 'change', change: applyCrashCommand(machine.config, machine.crashes, machine.charts.crashingRequest, command, version, at) }
  }
  switch (command.type) {
    case 'claim': return { type: 'claim', claim: applyClaim(machine.claims, command, at) }
    case 'settle': return { type: 'settle', settle: applySettle(machine.claims, command, at) }
    case 'allocate':
      applyAllocations(machine.allocations, command, resource => getCap(machine.config, resource))
      return { type: 'none' }
    case 'advanceShift':
      advanceShift(machine.config, machine.charts, command, version, at)
      return { type: 'none' }
    case 'advanceDrain':
      advanceDrain(machine.config, machine.charts, command, version)
      return { type: 'none' }
    default: return { type: 'change', change: applyOnce(machine, command, version, at) }
  }
}

/**
 * Applies a change unless it has already been applied. An operator who did not receive the answer sends the change again;
 * it must not take effect twice and gets the stored answer.
 */
function applyOnce (machine: StateMachine, change: Change, version: number, at: Millis): ChangeAnswer {
  const storedAnswer = machine.answers.get(change.changeId)
  if (storedAnswer !== undefined) return storedAnswer
  const answer = applyChange(machine.config, machine.charts, change, version, at)
  machine.answers.set(change.changeId, answer)
  if (machine.answers.size > maxStoredAnswers) dropOldest(machine.answers)
  if (answer.ok) appendHistory(machine, change)
  return answer
}

function appendHistory (machine: StateMachine, change: Change): void {
  if (change.type !== 'publishProfile' && change.type !== 'retireProfile') return
  const name = change.type === 'publishProfile' ? change.profile.name : change.name
  const item = findItem(machine.config, 'profile', name)
  if (item === undefined) return
  const history = machine.history.get(name) ?? []
  machine.history.set(name, [...history, item].slice(-maxProfileHistory))
}

interface StateMachineSnapshot {
  readonly applied: number
  readonly version: number
  readonly prunedBelow: number
  readonly items: ReadonlyArray<readonly [string, VersionedItem]>
  readonly claims: ReadonlyArray<readonly [RequestId, ClaimRecord]>
  readonly allocations: ReadonlyArray<readonly [ResourceId, ReadonlyArray<readonly [string, Allocation]>]>
  readonly answers: ReadonlyArray<readonly [ChangeId, ChangeAnswer]>
  readonly orders: ReadonlyArray<readonly [RouteChangeId, number]>
  /** Missing in snapshots of versions that did not count ended servers. */
  readonly crashes?: readonly StoredEnds[]
  readonly history: ReadonlyArray<readonly [string, ProfileItem[]]>
}

/** Serializes the state for a snapshot of the log. */
export function serializeStateMachine (machine: StateMachine): string {
  const allocations = [...machine.allocations.byResource].map(([id, shares]) => [id, [...shares]] as const)
  const data: StateMachineSnapshot = {
    applied: machine.applied,
    version: machine.config.version,
    prunedBelow: machine.config.prunedBelow,
    items: [...machine.config.items],
    claims: [...machine.claims.records],
    allocations,
    answers: [...machine.answers],
    orders: [...machine.orders],
    crashes: serializeCrashRegister(machine.crashes),
    history: [...machine.history]
  }
  return JSON.stringify(data)
}

/** Restores the state from a snapshot. An empty text stands for the state before the first entry. */
export function deserializeStateMachine (charts: StateMachineCharts, text: string): StateMachine {
  const machine = createStateMachine(charts)
  if (text === '') return machine
  const data = JSON.parse(text) as StateMachineSnapshot
  machine.applied = data.applied
  machine.config = { version: data.version, prunedBelow: data.prunedBelow, items: new Map(data.items) }
  machine.claims = restoreClaimRegister(charts.claim, data.claims)
  for (const [id, shares] of data.allocations) {
    machine.allocations.byResource.set(id, new Map(shares) as never)
  }
  machine.answers = new Map(data.answers)
  machine.orders = new Map(data.orders)
  machine.crashes = restoreCrashRegister(data.crashes ?? [])
  machine.history = new Map(data.history)
  return machine
}
