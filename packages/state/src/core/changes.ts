/** Applies operators' changes and the leader's own steps to the configuration. */
import { hasTransition, nextState } from '@lynxcourse/base'
import type { Chart } from '@lynxcourse/base'
import type { AdvanceDrainCommand, AdvanceShiftCommand, Change, ChangeAnswer, Winner } from '../types/commands.js'
import type { DrainItem, Origin, ProfileItem, ShiftItem } from '../types/items.js'
import { findItem, isPicked, findServiceProfile, setItem } from './config.js'
import type { Config } from './config.js'

/** The charts that changes follow. */
export interface ChangeCharts {
  readonly drain: Chart
  readonly shift: Chart
}

type ChangeOf<Type extends Change['type']> = Extract<Change, { type: Type }>

function refuse (code: 'versionConflict' | 'notFound' | 'badRequest', detail: string, winner?: Winner): ChangeAnswer {
  return { ok: false, code, detail, winner }
}

function accept (config: Config, itemVersion: number): ChangeAnswer {
  return { ok: true, version: config.version, itemVersion }
}

function originOf (change: Change, at: number): Origin {
  return { changeId: change.changeId, operator: change.operator, at }
}

/** Applies one operator's change at a version of the log. */
export function applyChange (config: Config, charts: ChangeCharts, change: Change, version: number, at: number): ChangeAnswer {
  const origin = originOf(change, at)
  switch (change.type) {
    case 'publishProfile': return publishProfile(config, change, version, origin)
    case 'retireProfile': return retireProfile(config, change, version, origin)
    case 'pickProfile': return pickProfile(config, change, version, origin)
    case 'startDrain': return startDrain(config, charts, change, version, origin)
    case 'cancelDrain': return cancelDrain(config, charts, change, version, origin)
    case 'startShift': return startShift(config, charts, change, version, origin)
    case 'steerShift': return steerShift(config, charts, change, version)
  }
}

function winnerOf (item: ProfileItem): Winner {
  return { version: item.itemVersion, changeId: item.origin.changeId, operator: item.origin.operator }
}

/** Two operators may race with equal versions: the log's order decides, and the loser learns who won. */
function checkVersion (item: ProfileItem | undefined, expected: number): ChangeAnswer | undefined {
  const held = item?.itemVersion ?? 0
  if (held === expected) return undefined
  const detail = `expected version ${expected}, but it is at ${held}`
  return refuse('versionConflict', detail, item === undefined ? undefined : winnerOf(item))
}

function publishProfile (config: Config, change: ChangeOf<'publishProfile'>, version: number, origin: Origin): ChangeAnswer {
  const held = findItem(config, 'profile', change.profile.name)
  const conflict = checkVersion(held, change.expectedVersion)
  if (conflict !== undefined) return conflict
  const itemVersion = change.expectedVersion + 1
  setItem(config, version, { kind: 'profile', key: change.profile.name, profile: change.profile, itemVersion, retired: false, origin })
  return accept(config, itemVersion)
}

function retireProfile (config: Config, change: ChangeOf<'retireProfile'>, version: number, origin: Origin): ChangeAnswer {
  const held = findItem(config, 'profile', change.name)
  if (held === undefined) return refuse('notFound', `profile '${change.name}'`)
  const conflict = checkVersion(held, change.expectedVersion)
  if (conflict !== undefined) return conflict
  if (isPicked(config, change.name)) return refuse('badRequest', `profile '${change.name}' is picked by a service`)
  const itemVersion = held.itemVersion + 1
  setItem(config, version, { ...held, itemVersion, retired: true, origin })
  return accept(config, itemVersion)
}

function pickProfile (config: Config, change: ChangeOf<'pickProfile'>, version: number, origin: Origin): ChangeAnswer {
  const profile = findItem(config, 'profile', change.profile)
  if (profile === undefined || profile.retired) return refuse('notFound', `profile '${change.profile}'`)
  setItem(config, version, { kind: 'service', key: change.service, profile: change.profile, origin })
  return accept(config, version)
}

function startDrain (config: Config, charts: ChangeCharts, change: ChangeOf<'startDrain'>, version: number, origin: Origin): ChangeAnswer {
  if (findItem(config, 'drain', change.drain) !== undefined) return refuse('badRequest', `drain '${change.drain}' exists`)
  const isDue = change.at <= origin.at
  const state = isDue ? nextState(charts.drain, charts.drain.initial, 'due') : charts.drain.initial
  const item: DrainItem = { kind: 'drain', key: change.drain, target: change.target, at: change.at, state, origin }
  setItem(config, version, item)
  return accept(config, version)
}

function cancelDrain (config: Config, charts: ChangeCharts, change: ChangeOf<'cancelDrain'>, version: number, origin: Origin): ChangeAnswer {
  const held = findItem(config, 'drain', change.drain)
  if (held === undefined) return refuse('notFound', `drain '${change.drain}'`)
  if (!hasTransition(charts.drain, held.state, 'cancel')) return refuse('badRequest', `drain is ${held.state}`)
  setItem(config, version, { ...held, state: nextState(charts.drain, held.state, 'cancel'), origin })
  return accept(config, version)
}

function startShift (config: Config, charts: ChangeCharts, change: ChangeOf<'startShift'>, version: number, origin: Origin): ChangeAnswer {
  const { shift, service, from, to } = change
  if (findItem(config, 'shift', shift) !== undefined) return refuse('badRequest', `shift '${shift}' exists`)
  const profile = findServiceProfile(config, service)
  if (profile === undefined) return refuse('notFound', `service '${service}' with a profile`)
  for (const region of [from, to]) {
    if (!profile.places.includes(region)) return refuse('badRequest', `region '${region}' is not among the profile's places`)
  }
  if (from === to) return refuse('badRequest', 'from and to are the same region')
  const item: ShiftItem = {
    kind: 'shift',
    key: shift,
    service,
    from,
    to,
    targetPercent: change.percent,
    stepPercent: change.stepPercent,
    cap: change.cap ?? profile.shiftCap,
    percent: 0,
    state: charts.shift.initial,
    steppedAt: origin.at,
    origin
  }
  setItem(config, version, item)
  return accept(config, version)
}

function steerShift (config: Config, charts: ChangeCharts, change: ChangeOf<'steerShift'>, version: number): ChangeAnswer {
  const held = findItem(config, 'shift', change.shift)
  if (held === undefined) return refuse('notFound', `shift '${change.shift}'`)
  if (!hasTransition(charts.shift, held.state, change.event)) return refuse('badRequest', `shift is ${held.state}`)
  const state = nextState(charts.shift, held.state, change.event)
  const percent = state === 'cancelled' ? 0 : held.percent
  setItem(config, version, { ...held, state, percent })
  return accept(config, version)
}

/** Moves a shift on if it still stands where the leader that planned the step saw it. */
export function advanceShift (config: Config, charts: ChangeCharts, command: AdvanceShiftCommand, version: number, at: number): void {
  const held = findItem(config, 'shift', command.shift)
  if (held === undefined || held.percent !== command.fromPercent) return
  if (!hasTransition(charts.shift, held.state, command.event)) return
  const percent = Math.min(command.percent, held.targetPercent, held.percent + held.stepPercent)
  const state = nextState(charts.shift, held.state, command.event)
  const steppedAt = percent === held.percent ? held.steppedAt : at
  setItem(config, version, { ...held, percent, state, steppedAt })
}

/** Moves a drain on if its chart allows it. */
export function advanceDrain (config: Config, charts: ChangeCharts, command: AdvanceDrainCommand, version: number): void {
  const held = findItem(config, 'drain', command.drain)
  if (held === undefined || !hasTransition(charts.drain, held.state, command.event)) return
  setItem(config, version, { ...held, state: nextState(charts.drain, held.state, command.event) })
}
