/** The state machine that the replicated log drives: equal logs give equal states on every copy. */
import type { Entry } from '@lynxcourse/agreement'
import type { Chart, ChangeId, Millis, RequestId, ResourceId } from '@lynxcourse/base'
import type { CommandAnswer, Change, ChangeAnswer, Command } from '../types/commands.js'
import type { ProfileItem, VersionedItem } from '../types/items.js'
import type { RouteChangeId } from '../types/routes.js'
import { allocate, createAllocations } from './allocations.js'
import type { Allocation, Allocations } from './allocations.js'
import { capOf } from './caps.js'
import { advanceDrain, advanceShift, applyChange } from './changes.js'
import type { ChangeCharts } from './changes.js'
import { claim, createClaims, restoreClaims, settle } from './claims.js'
import type { ClaimRecord, Claims } from './claims.js'
import { createConfig, findItem } from './config.js'
import type { Config } from './config.js'
import { applyRouteCommand, isRouteCommand } from './routeChanges.js'
import type { AcceptedOrders } from './routeChanges.js'

/** Most answers to changes that are kept for resends; two days at 9,800 changes a day. */
export const maxKeptAnswers = 20_000

/** Most former versions kept of one profile. */
export const maxHistory = 20

/** The charts that the machine follows. */
export interface StateMachineCharts extends ChangeCharts {
  readonly claim: Chart
}

export interface StateMachine {
  readonly charts: StateMachineCharts
  applied: number
  config: Config
  claims: Claims
  allocations: Allocations
  answers: Map<ChangeId, ChangeAnswer>
  orders: AcceptedOrders
  history: Map<string, ProfileItem[]>
}

export function createStateMachine (charts: StateMachineCharts): StateMachine {
  return {
    charts,
    applied: 0,
    config: createConfig(),
    claims: createClaims(charts.claim),
    allocations: createAllocations(),
    answers: new Map(),
    orders: new Map(),
    history: new Map()
  }
}

/** Applies one committed entry. */
export function applyEntry (machine: StateMachine, entry: Entry): CommandAnswer {
  machine.applied = entry.index
  if (entry.body.type !== 'command') return { type: 'none' }
  return applyCommand(machine, entry.body.command as Command, entry.index, entry.at)
}

function applyCommand (machine: StateMachine, command: Command, version: number, at: Millis): CommandAnswer {
  if (isRouteCommand(command)) {
    return { type: 'change', change: applyRouteCommand(machine.config, machine.orders, command, version) }
  }
  switch (command.type) {
    case 'claim': return { type: 'claim', claim: claim(machine.claims, command, at) }
    case 'settle': return { type: 'settle', settle: settle(machine.claims, command, at) }
    case 'allocate':
      allocate(machine.allocations, command, resource => capOf(machine.config, resource))
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

/** An operator who lost the answer sends the change again; it must not take effect a second time. */
function applyOnce (machine: StateMachine, change: Change, version: number, at: Millis): ChangeAnswer {
  const kept = machine.answers.get(change.changeId)
  if (kept !== undefined) return kept
  const answer = applyChange(machine.config, machine.charts, change, version, at)
  machine.answers.set(change.changeId, answer)
  if (machine.answers.size > maxKeptAnswers) dropOldest(machine.answers)
  if (answer.ok) keepHistory(machine, change)
  return answer
}

function dropOldest (answers: Map<ChangeId, ChangeAnswer>): void {
  const [oldest] = answers.keys()
  if (oldest !== undefined) answers.delete(oldest)
}

function keepHistory (machine: StateMachine, change: Change): void {
  if (change.type !== 'publishProfile' && change.type !== 'retireProfile') return
  const name = change.type === 'publishProfile' ? change.profile.name : change.name
  const item = findItem(machine.config, 'profile', name)
  if (item === undefined) return
  const history = machine.history.get(name) ?? []
  machine.history.set(name, [...history, item].slice(-maxHistory))
}

interface MachineData {
  readonly applied: number
  readonly version: number
  readonly prunedBelow: number
  readonly items: ReadonlyArray<readonly [string, VersionedItem]>
  readonly claims: ReadonlyArray<readonly [RequestId, ClaimRecord]>
  readonly allocations: ReadonlyArray<readonly [ResourceId, ReadonlyArray<readonly [string, Allocation]>]>
  readonly answers: ReadonlyArray<readonly [ChangeId, ChangeAnswer]>
  readonly orders: ReadonlyArray<readonly [RouteChangeId, number]>
  readonly history: ReadonlyArray<readonly [string, ProfileItem[]]>
}

/** Writes the state as text, for a snapshot of the log. */
export function serializeStateMachine (machine: StateMachine): string {
  const allocations = [...machine.allocations.byResource].map(([id, shares]) => [id, [...shares]] as const)
  const data: MachineData = {
    applied: machine.applied,
    version: machine.config.version,
    prunedBelow: machine.config.prunedBelow,
    items: [...machine.config.items],
    claims: [...machine.claims.records],
    allocations,
    answers: [...machine.answers],
    orders: [...machine.orders],
    history: [...machine.history]
  }
  return JSON.stringify(data)
}

/** Reads the state back; an empty text is the state before the first entry. */
export function deserializeStateMachine (charts: StateMachineCharts, text: string): StateMachine {
  const machine = createStateMachine(charts)
  if (text === '') return machine
  const data = JSON.parse(text) as MachineData
  machine.applied = data.applied
  machine.config = { version: data.version, prunedBelow: data.prunedBelow, items: new Map(data.items) }
  machine.claims = restoreClaims(charts.claim, data.claims)
  for (const [id, shares] of data.allocations) {
    machine.allocations.byResource.set(id, new Map(shares) as never)
  }
  machine.answers = new Map(data.answers)
  machine.orders = new Map(data.orders)
  machine.history = new Map(data.history)
  return machine
}
