/** Applies operators' changes and the steps that the leader plans to the configuration. */
import { hasTransition, nextState } from '@lynxcourse/base'
import type { Chart } from '@lynxcourse/base'
import type { AdvanceDrainCommand, AdvanceShiftCommand, Change, ChangeAnswer, WinningChange } from '../types/commands.js'
import type { DrainItem, Origin, ProfileItem, ShiftItem } from '../types/items.js'
import { findItem, isProfileInUse, findServiceProfile, setItem } from './config.js'
import type { Config } from './config.js'

/** State charts of drains and shifts. */
export interface ChangeCharts {
  readonly drain: Chart
  readonly shift: Chart
}

type ChangeOf<Type extends Change['type']> = Extract<Change, { type: Type }>

function reject (code: 'versionConflict' | 'notFound' | 'badRequest', detail: string, winner?: WinningChange): ChangeAnswer {
  return { ok: false, code, detail, winner }
}

function accept (config: Config, itemVersion: number): ChangeAnswer {
  return { ok: true, version: config.version, itemVersion }
}

function createOrigin (change: Change, at: number): Origin {
  return { changeId: change.changeId, operator: change.operator, at }
}

/** Applies an operator's change as the given version of the configuration. */
export function applyChange (config: Config, charts: ChangeCharts, change: Change, version: number, at: number): ChangeAnswer {
  const origin = createOrigin(change, at)
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

function getWinner (item: ProfileItem): WinningChange {
  return { version: item.itemVersion, changeId: item.origin.changeId, operator: item.origin.operator }
}

/**
 * Rejects a change that is based on another version than the current one. If two operators change the same version, the first
 * change in the log wins, and the other operator learns who made it.
 */
function checkVersion (item: ProfileItem | undefined, expected: number): ChangeAnswer | undefined {
  const currentVersion = item?.itemVersion ?? 0
  if (currentVersion === expected) return undefined
  const detail = `expected version ${expected}, but it is at ${currentVersion}`
  return reject('versionConflict', detail, item === undefined ? undefined : getWinner(item))
}

function publishProfile (config: Config, change: ChangeOf<'publishProfile'>, version: number, origin: Origin): ChangeAnswer {
  const current = findItem(config, 'profile', change.profile.name)
  const conflict = checkVersion(current, change.expectedVersion)
  if (conflict !== undefined) return conflict
  const itemVersion = change.expectedVersion + 1
  setItem(config, version, { kind: 'profile', key: change.profile.name, profile: change.profile, itemVersion, retired: false, origin })
  return accept(config, itemVersion)
}

function retireProfile (config: Config, change: ChangeOf<'retireProfile'>, version: number, origin: Origin): ChangeAnswer {
  const current = findItem(config, 'profile', change.name)
  if (current === undefined) return reject('notFound', `profile '${change.name}'`)
  const conflict = checkVersion(current, change.expectedVersion)
  if (conflict !== undefined) return conflict
  if (isProfileInUse(config, change.name)) return reject('badRequest', `profile '${change.name}' is picked by a service`)
  const itemVersion = current.itemVersion + 1
  setItem(config, version, { ...current, itemVersion, retired: true, origin })
  return accept(config, itemVersion)
}

function pickProfile (config: Config, change: ChangeOf<'pickProfile'>, version: number, origin: Origin): ChangeAnswer {
  const profile = findItem(config, 'profile', change.profile)
  if (profile === undefined || profile.retired) return reject('notFound', `profile '${change.profile}'`)
  setItem(config, version, { kind: 'service', key: change.service, profile: change.profile, origin })
  return accept(config, version)
}

function startDrain (config: Config, charts: ChangeCharts, change: ChangeOf<'startDrain'>, version: number, origin: Origin): ChangeAnswer {
  if (findItem(config, 'drain', change.drain) !== undefined) return reject('badRequest', `drain '${change.drain}' exists`)
  const isDue = change.at <= origin.at
  const state = isDue ? nextState(charts.drain, charts.drain.initial, 'due') : charts.drain.initial
  const item: DrainItem = { kind: 'drain', key: change.drain, target: change.target, at: change.at, state, origin }
  setItem(config, version, item)
  return accept(config, version)
}

function cancelDrain (config: Config, charts: ChangeCharts, change: ChangeOf<'cancelDrain'>, version: number, origin: Origin): ChangeAnswer {
  const current = findItem(config, 'drain', change.drain)
  if (current === undefined) return reject('notFound', `drain '${change.drain}'`)
  if (!hasTransition(charts.drain, current.state, 'cancel')) return reject('badRequest', `drain is ${current.state}`)
  setItem(config, version, { ...current, state: nextState(charts.drain, current.state, 'cancel'), origin })
  return accept(config, version)
}

function startShift (config: Config, charts: ChangeCharts, change: ChangeOf<'startShift'>, version: number, origin: Origin): ChangeAnswer {
  const { shift, service, from, to } = change
  if (findItem(config, 'shift', shift) !== undefined) return reject('badRequest', `shift '${shift}' exists`)
  const profile = findServiceProfile(config, service)
  if (profile === undefined) return reject('notFound', `service '${service}' with a profile`)
  for (const region of [from, to]) {
    if (!profile.places.includes(region)) return reject('badRequest', `region '${region}' is not among the profile's places`)
  }
  if (from === to) return reject('badRequest', 'from and to are the same region')
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
  const current = findItem(config, 'shift', change.shift)
  if (current === undefined) return reject('notFound', `shift '${change.shift}'`)
  if (!hasTransition(charts.shift, current.state, change.event)) return reject('badRequest', `shift is ${current.state}`)
  const state = nextState(charts.shift, current.state, change.event)
  const percent = state === 'cancelled' ? 0 : current.percent
  setItem(config, version, { ...current, state, percent })
  return accept(config, version)
}

/** Advances a shift, unless its percentage changed after the leader planned the step or its chart forbids the event. */
export function advanceShift (config: Config, charts: ChangeCharts, command: AdvanceShiftCommand, version: number, at: number): void {
  const current = findItem(config, 'shift', command.shift)
  if (current === undefined || current.percent !== command.fromPercent) return
  if (!hasTransition(charts.shift, current.state, command.event)) return
  const percent = Math.min(command.percent, current.targetPercent, current.percent + current.stepPercent)
  const state = nextState(charts.shift, current.state, command.event)
  const steppedAt = percent === current.percent ? current.steppedAt : at
  setItem(config, version, { ...current, percent, state, steppedAt })
}

/** Advances a drain if its chart allows the event. */
export function advanceDrain (config: Config, charts: ChangeCharts, command: AdvanceDrainCommand, version: number): void {
  const current = findItem(config, 'drain', command.drain)
  if (current === undefined || !hasTransition(charts.drain, current.state, command.event)) return
  setItem(config, version, { ...current, state: nextState(charts.drain, current.state, command.event) })
}
