/** A simulated operator: changes routes, races against a second operator, evacuates failure domains and reads routes. */
import type { FailureDomainId, ServiceId } from '@lynxcourse/base'
import type { RoutesReadResult } from '@lynxcourse/daemon'
import type { ChangeAnswer, RouteChangeId, ReplaceRoutesCommand, Route, RouteCommand } from '@lynxcourse/state'
import { sleep } from '../support/processes.js'
import { callAny, callUntilAnswered } from './controlClient.js'
import type { ControlClient } from './controlClient.js'
import { bounds, probePath } from './history.js'
import type { SoakHistory } from './history.js'
import { createTeams } from './teamKeys.js'

/** Timeout of a command; longer than a series of faults, so that every fault has ended by then. */
const commandTimeoutMs = 15_000
const readIntervalMs = 400
const maxVersionGap = 3

export interface Operator {
  readonly client: ControlClient
  readonly history: SoakHistory
  readonly services: readonly ServiceId[]
  /** Newest version known to be in force; it determines the service of the probe route. */
  version: number
  /** Highest version that was ever sent. */
  highestVersion: number
  /** Versions whose change got no answer: they may be in force or not. */
  readonly unansweredVersions: Set<number>
  orders: number
}

export function createOperator (client: ControlClient, history: SoakHistory, services: readonly ServiceId[]): Operator {
  return { client, history, services, version: 0, highestVersion: 0, unansweredVersions: new Set(), orders: 0 }
}

function createRoute (name: string, pathPrefix: string, service: ServiceId, isIdempotent: boolean, rank: number): Route {
  return { name, host: 'soak.example', pathPrefix, isIdempotent, timeoutMs: bounds.timeoutMs, aimMs: 300, rank, service, split: [], maxAttempts: bounds.maxAttempts, isSticky: false, homes: [], annotations: {} }
}

/** Creates a command that replaces all routes; the version determines the service of the probe route. */
function createReplaceCommand (operator: Operator, version: number, extraRoutes = createExtraRoutes(operator, version)): ReplaceRoutesCommand {
  const [first, second] = operator.services as [ServiceId, ServiceId]
  operator.orders += 1
  return {
    type: 'replaceRoutes',
    order: `order-${operator.orders}-${version}` as RouteChangeId,
    baseVersion: operator.version,
    routesVersion: version,
    set: {
      routes: [...extraRoutes, createRoute('read', '/read/', first, true, 1), createRoute('offer', '/offer/', second, false, 0), createRoute('probe', probePath, getProbeService(operator, version), true, 1)],
      upstreams: operator.services.map(name => ({ name, healthPath: '/health', maxConnections: 200, warmupMs: 0, warmupPerSecond: 1000, annotations: {} })),
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
      teams: createTeams(version)
    }
  }
}

/** Every third version has many more routes than the others, so that changes of all sizes follow each other. */
function createExtraRoutes (operator: Operator, version: number): Route[] {
  return createRoutes(operator, 'extra', version % 3 === 0 ? 1400 : 0)
}

function createRoutes ({ services }: Operator, name: string, count: number): Route[] {
  const [, service] = services as [ServiceId, ServiceId]
  return Array.from({ length: count }, (_, index) => createRoute(`${name}-${index}`, `/${name}-${index}/`, service, true, 1))
}

function getProbeService (operator: Operator, version: number): ServiceId {
  return operator.services[version % operator.services.length] as ServiceId
}

function allocateVersion (operator: Operator): number {
  operator.highestVersion += 1 + operator.orders % maxVersionGap
  return operator.highestVersion
}

/** Sends a change based on the newest version and retries until it is answered; returns whether it was accepted. */
export async function changeRoutes (operator: Operator): Promise<boolean> {
  const version = allocateVersion(operator)
  return await submitRoutes(operator, createReplaceCommand(operator, version), version)
}

/** Sends changes of many routes one after the other; each replaces all routes of the one before. */
export async function changeManyRoutes (operator: Operator, changeCount: number, routeCount: number): Promise<void> {
  for (let sent = 0; sent < changeCount; sent++) {
    const version = allocateVersion(operator)
    await submitRoutes(operator, createReplaceCommand(operator, version, createRoutes(operator, `large-${version}`, routeCount)), version)
  }
}

/** Sends two changes based on the same version concurrently; if both are accepted, records a violation. */
export async function raceChanges (operator: Operator): Promise<void> {
  const versions = [allocateVersion(operator), allocateVersion(operator)]
  const base = operator.version
  const commands = versions.map(version => createReplaceCommand(operator, version))
  const accepted = await Promise.all(commands.map(async (command, index) => await submitRoutes(operator, command, versions[index] as number)))
  if (accepted.every(Boolean)) operator.history.recordedViolations.push(`race: versions ${versions.join(' and ')} were both accepted on ${base}`)
}

async function submitRoutes (operator: Operator, command: ReplaceRoutesCommand, version: number): Promise<boolean> {
  const sentAt = performance.now()
  operator.unansweredVersions.add(version)
  const answer = await callUntilAnswered<ChangeAnswer>(operator.client, 'fleet.submit', { command }, commandTimeoutMs)
  if (answer === undefined) {
    // The outcome is unknown: the next change is based on the version that a read returns.
    await refreshVersion(operator)
    return false
  }
  operator.unansweredVersions.delete(version)
  if (!answer.ok) {
    await refreshVersion(operator)
    return false
  }
  operator.version = Math.max(operator.version, version)
  operator.history.confirmed.push({ type: 'change', subject: getProbeService(operator, version), at: performance.now(), sentAt, version })
  return true
}

async function refreshVersion (operator: Operator): Promise<void> {
  const read = await callUntilAnswered<RoutesReadResult>(operator.client, 'fleet.read', {}, commandTimeoutMs)
  if (read !== undefined) operator.version = Math.max(operator.version, read.routesVersion)
}

/** Evacuates a failure domain for a while, then readmits it. */
export async function evacuate (operator: Operator, failureDomain: FailureDomainId, forMs: number): Promise<void> {
  const { history } = operator
  const sentAt = performance.now()
  const isActive = await submit(operator, { type: 'evacuate', failureDomain, isActive: true })
  if (isActive) history.confirmed.push({ type: 'evacuate', subject: failureDomain, at: performance.now(), sentAt, version: 0 })
  await sleep(forMs)
  history.confirmed.push({ type: 'readmit', subject: failureDomain, at: performance.now(), sentAt: performance.now(), version: 0 })
  const isReadmitted = await submit(operator, { type: 'evacuate', failureDomain, isActive: false })
  if (!isReadmitted) history.recordedViolations.push(`order: ending the evacuation of ${failureDomain} was not accepted within ${commandTimeoutMs} ms`)
}

async function submit (operator: Operator, command: RouteCommand): Promise<boolean> {
  const answer = await callUntilAnswered<ChangeAnswer>(operator.client, 'fleet.submit', { command }, commandTimeoutMs)
  return answer?.ok === true
}

/** Reads the routes at intervals and records the versions until `isOver` returns true. */
export async function pollRoutes (operator: Operator, isOver: () => boolean): Promise<void> {
  while (!isOver()) {
    const sentAt = performance.now()
    const read = await callAny<RoutesReadResult>(operator.client, 'fleet.read', {}).catch(() => undefined)
    if (read !== undefined) operator.history.reads.push({ sentAt, version: read.routesVersion })
    await sleep(readIntervalMs)
  }
}

/** Records a violation unless the routes in force at the end are the newest confirmed or a newer unanswered version. */
export async function checkFinalRoutes (operator: Operator): Promise<void> {
  const read = await callUntilAnswered<RoutesReadResult>(operator.client, 'fleet.read', {}, commandTimeoutMs)
  const newestConfirmed = Math.max(0, ...operator.history.confirmed.filter(({ type }) => type === 'change').map(({ version }) => version))
  const isExpected = read !== undefined && (read.routesVersion === newestConfirmed || (read.routesVersion > newestConfirmed && operator.unansweredVersions.has(read.routesVersion)))
  if (!isExpected) operator.history.recordedViolations.push(`lost: version ${read?.routesVersion ?? 'none'} is in force at the end, but version ${newestConfirmed} was confirmed`)
}
