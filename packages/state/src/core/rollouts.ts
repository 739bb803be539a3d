/**
 * Applies the commands of rollouts, and keeps the version in force of each service.
 *
 * Each service has at most one rollout, the last one ordered. An operator who did not receive the answer to an order sends
 * it again, so a repeated order is accepted and takes effect once. Steps are conditional: they name the order and the step
 * that they follow, so that a leader that was replaced can't advance a rollout that has moved on.
 */
import { brandId, hasTransition, isFinal, nextState } from '@lynxcourse/base'
import type { Chart, Millis, ServiceId } from '@lynxcourse/base'
import type { ChangeAnswer } from '../types/commands.js'
import type { AbortRolloutCommand, AdvanceRolloutCommand, RolloutCommand, RolloutEvent, RolloutItem, RolloutState, SoftwareVersion, StartRolloutCommand } from '../types/rollouts.js'
import type { BackendAnnouncement, RouteCommand } from '../types/routes.js'
import { deleteItem, findItem, listItems, maxFinishedItems, setItem } from './config.js'
import type { Config } from './config.js'

/** Percentage of the objects that a target version serves while it is observed. */
export const observePercent = 8

const rolloutCommandTypes = new Set(['startRollout', 'advanceRollout', 'abortRollout'])

/** Whether a command concerns rollouts. */
export function isRolloutCommand (command: { readonly type: string }): command is RolloutCommand {
  return rolloutCommandTypes.has(command.type)
}

/** Whether a rollout has not ended. */
export function isRunningRollout ({ state }: RolloutItem): boolean {
  return state !== 'completed' && state !== 'rolledBack'
}

/**
 * Applies a command as the given version of the configuration.
 *
 * @param at the log's time
 */
export function applyRolloutCommand (config: Config, chart: Chart, command: RolloutCommand, version: number, at: Millis): ChangeAnswer {
  switch (command.type) {
    case 'startRollout': return startRollout(config, chart, command, version, at)
    case 'advanceRollout': return advanceRollout(config, chart, command, version)
    case 'abortRollout': return abortRollout(config, chart, command, version)
  }
}

function reject (code: 'versionConflict' | 'notFound' | 'badRequest', detail: string): ChangeAnswer {
  return { ok: false, code, detail, winner: undefined }
}

function accept (config: Config, step: number): ChangeAnswer {
  return { ok: true, version: config.version, itemVersion: step }
}

function isConfigured (config: Config, service: ServiceId): boolean {
  return findItem(config, 'upstream', service)?.upstream !== undefined
}

function startRollout (config: Config, chart: Chart, command: StartRolloutCommand, version: number, at: Millis): ChangeAnswer {
  const { service, target, durationMs } = command
  if (!isConfigured(config, service)) return reject('notFound', `service '${service}'`)
  const current = findItem(config, 'rollout', service)
  if (current !== undefined && isRunningRollout(current) && current.target !== target) {
    return reject('versionConflict', `a rollout of service '${service}' to version '${current.target}' is running`)
  }
  if (current !== undefined && isSameOrder(config, current, target, at)) return accept(config, current.step)
  const baseline = getVersionInForce(config, service) ?? findAnnouncedVersion(config, service, target)
  const isInForce = baseline === target
  const item: RolloutItem = {
    kind: 'rollout',
    key: service,
    baseline: baseline ?? brandId<SoftwareVersion>(''),
    target,
    orderedAt: at,
    durationMs,
    state: isInForce ? 'completed' : chart.initial as RolloutState,
    percent: isInForce ? 100 : observePercent,
    order: version,
    step: 1,
    reason: isInForce ? 'the target version was in force already' : 'ordered'
  }
  setItem(config, version, item)
  if (baseline !== undefined && getVersionInForce(config, service) === undefined) setVersionInForce(config, service, baseline, version)
  return accept(config, item.step)
}

/** Whether an order repeats that of a known rollout. A rollout that was rolled back may be ordered anew after its duration. */
function isSameOrder (config: Config, current: RolloutItem, target: SoftwareVersion, at: Millis): boolean {
  if (current.target !== target) return false
  if (current.state === 'completed') return getVersionInForce(config, current.key) === target
  return current.state !== 'rolledBack' || at < current.orderedAt + current.durationMs
}

function advanceRollout (config: Config, chart: Chart, command: AdvanceRolloutCommand, version: number): ChangeAnswer {
  const { service, order, step, event, percent, reason } = command
  const current = findItem(config, 'rollout', service)
  if (current === undefined) return reject('notFound', `rollout of service '${service}'`)
  if (current.order !== order || current.step !== step) {
    return reject('versionConflict', `planned at step ${step} of order ${order}, but the rollout is at step ${current.step} of order ${current.order}`)
  }
  if (!hasTransition(chart, current.state, event)) return reject('versionConflict', `rollout is ${current.state}`)
  return advance(config, chart, current, event, percent, reason, version)
}

function abortRollout (config: Config, chart: Chart, { service }: AbortRolloutCommand, version: number): ChangeAnswer {
  const current = findItem(config, 'rollout', service)
  if (current === undefined) return reject('notFound', `rollout of service '${service}'`)
  if (current.state === 'rolledBack') return accept(config, current.step)
  if (isFinal(chart, current.state)) return reject('badRequest', `rollout is ${current.state}`)
  return advance(config, chart, current, 'rollBack', 0, 'aborted by an operator', version)
}

function advance (config: Config, chart: Chart, current: RolloutItem, event: RolloutEvent, percent: number, reason: string, version: number): ChangeAnswer {
  const state = nextState(chart, current.state, event) as RolloutState
  const item: RolloutItem = { ...current, state, percent: getPercent(state, percent), step: current.step + 1, reason }
  setItem(config, version, item)
  if (state === 'completed') setVersionInForce(config, current.key, current.target, version)
  return accept(config, item.step)
}

/** Returns the percentage of a state; only a promotion has a choice. */
function getPercent (state: RolloutState, percent: number): number {
  if (state === 'rolledBack') return 0
  return state === 'promoting' ? Math.min(100, Math.max(0, percent)) : 100
}

/** Returns the version in force of a service; undefined if no server of it has announced a version. */
export function getVersionInForce (config: Config, service: ServiceId): SoftwareVersion | undefined {
  return findItem(config, 'serviceVersion', service)?.version
}

function setVersionInForce (config: Config, service: ServiceId, inForce: SoftwareVersion, version: number): void {
  setItem(config, version, { kind: 'serviceVersion', key: service, version: inForce })
}

/**
 * Returns the version that the known servers of a service announced first, other than the target of an order. It stands in
 * for the version in force where servers announced themselves before versions were recorded.
 */
function findAnnouncedVersion (config: Config, service: ServiceId, target: SoftwareVersion): SoftwareVersion | undefined {
  const announced = listItems(config, 'backend').find(({ facts, state }) => facts.service === service && state !== 'gone' && facts.software !== '' && facts.software !== target)
  return announced === undefined ? undefined : brandId<SoftwareVersion>(announced.facts.software)
}

/**
 * Updates versions in force and rollouts after a change of routes or servers, as the same version of the configuration: the
 * first announcement of a service sets its version in force, and a service that left the configuration ends its rollout.
 */
export function followRouteCommand (config: Config, chart: Chart, command: RouteCommand, version: number): void {
  switch (command.type) {
    case 'announce':
      recordFirstVersion(config, command.facts, version)
      break
    case 'announceAll':
      for (const facts of command.servers) recordFirstVersion(config, facts, version)
      break
    case 'replaceRoutes':
    case 'updateRoutes':
      endRolloutsOfRemovedServices(config, chart, version)
      pruneVersionsOfRemovedServices(config)
      break
    default:
  }
}

function recordFirstVersion (config: Config, facts: BackendAnnouncement, version: number): void {
  const { service } = facts
  const software = brandId<SoftwareVersion>(facts.software)
  if (software === '' || getVersionInForce(config, service) !== undefined) return
  // An announcement that was rejected tells nothing about the service.
  if (findItem(config, 'backend', facts.id)?.facts !== facts) return
  const rollout = findItem(config, 'rollout', service)
  const isRunning = rollout !== undefined && isRunningRollout(rollout)
  // The target of a rollout comes into force when the rollout completes, also if its servers are the first ones known.
  if (isRunning && rollout.target === software) return
  setVersionInForce(config, service, software, version)
  if (isRunning) setItem(config, version, { ...rollout, baseline: software, step: rollout.step + 1 })
}

function endRolloutsOfRemovedServices (config: Config, chart: Chart, version: number): void {
  for (const item of listItems(config, 'rollout')) {
    if (isRunningRollout(item) && !isConfigured(config, item.key)) advance(config, chart, item, 'rollBack', 0, 'the service left the configuration', version)
  }
}

/** Forgets the versions of services that left the configuration long ago; those of the last ones stay, since they may come back. */
function pruneVersionsOfRemovedServices (config: Config): void {
  const removed = listItems(config, 'serviceVersion').filter(({ key }) => !isConfigured(config, key))
  for (const { key } of removed.slice(0, -maxFinishedItems)) deleteItem(config, 'serviceVersion', key)
}
