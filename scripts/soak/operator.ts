/** The operator of a soak: changes routes, races against a second one, evacuates failure domains, reads back. */
import type { FailureDomainId, ServiceId } from '@lynxcourse/base'
import type { RoutesReadResult } from '@lynxcourse/daemon'
import type { ChangeAnswer, RouteChangeId, ReplaceRoutesCommand, Route, RouteCommand } from '@lynxcourse/state'
import { sleep } from '../support/processes.js'
import { callAny, callUntilClear } from './controlClient.js'
import type { ControlClient } from './controlClient.js'
import { bounds, probePath } from './ledger.js'
import type { Ledger } from './ledger.js'

/** An order is given up after this; by then every fault of a series is over. */
const orderMs = 15_000
const readEveryMs = 400
const stepOfVersions = 3

export interface Operator {
  readonly client: ControlClient
  readonly ledger: Ledger
  readonly services: readonly ServiceId[]
  /** Newest version known to be in force, and where its probing route leads. */
  version: number
  /** Highest version that was ever sent. */
  highest: number
  /** Versions whose order got no clear answer: they may be in force or not. */
  readonly unclear: Set<number>
  orders: number
}

export function createOperator (client: ControlClient, ledger: Ledger, services: readonly ServiceId[]): Operator {
  return { client, ledger, services, version: 0, highest: 0, unclear: new Set(), orders: 0 }
}

function route (name: string, pathPrefix: string, service: ServiceId, isIdempotent: boolean, rank: number): Route {
  return { name, host: 'soak.example', pathPrefix, isIdempotent, timeoutMs: bounds.timeoutMs, aimMs: 300, rank, service, split: [], maxAttempts: bounds.maxAttempts, isSticky: false, homes: [], annotations: {} }
}

/** A whole set of routes; the version says where the probing route leads. */
function replaceCommand (operator: Operator, version: number): ReplaceRoutesCommand {
  const [first, second] = operator.services as [ServiceId, ServiceId]
  operator.orders += 1
  return {
    type: 'replaceRoutes',
    order: `order-${operator.orders}-${version}` as RouteChangeId,
    baseVersion: operator.version,
    routesVersion: version,
    set: {
      routes: [route('read', '/read/', first, true, 1), route('offer', '/offer/', second, false, 0), route('probe', probePath, probedService(operator, version), true, 1)],
      upstreams: operator.services.map(name => ({ name, healthPath: '/health', maxConnections: 200, warmupMs: 0, warmupPerSecond: 1000, annotations: {} })),
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
    }
  }
}

function probedService (operator: Operator, version: number): ServiceId {
  return operator.services[version % operator.services.length] as ServiceId
}

function nextVersion (operator: Operator): number {
  operator.highest += 1 + operator.orders % stepOfVersions
  return operator.highest
}

/** Sends a change, built on the newest version, until its answer is clear. */
export async function changeRoutes (operator: Operator): Promise<boolean> {
  const version = nextVersion(operator)
  return await order(operator, replaceCommand(operator, version), version)
}

/** Two operators change the same version at once: one of them at most may succeed. */
export async function raceChanges (operator: Operator): Promise<void> {
  const versions = [nextVersion(operator), nextVersion(operator)]
  const base = operator.version
  const commands = versions.map(version => replaceCommand(operator, version))
  const won = await Promise.all(commands.map(async (command, place) => await order(operator, command, versions[place] as number)))
  if (won.every(Boolean)) operator.ledger.notes.push(`race: versions ${versions.join(' and ')} were both accepted on ${base}`)
}

async function order (operator: Operator, command: ReplaceRoutesCommand, version: number): Promise<boolean> {
  const sentAt = performance.now()
  operator.unclear.add(version)
  const answer = await callUntilClear<ChangeAnswer>(operator.client, 'fleet.submit', { command }, orderMs)
  if (answer === undefined) {
    // Not known: the next change builds on what a read shows.
    await refreshVersion(operator)
    return false
  }
  operator.unclear.delete(version)
  if (!answer.ok) {
    await refreshVersion(operator)
    return false
  }
  operator.version = Math.max(operator.version, version)
  operator.ledger.confirmed.push({ type: 'change', subject: probedService(operator, version), at: performance.now(), sentAt, version })
  return true
}

async function refreshVersion (operator: Operator): Promise<void> {
  const read = await callUntilClear<RoutesReadResult>(operator.client, 'fleet.read', {}, orderMs)
  if (read !== undefined) operator.version = Math.max(operator.version, read.routesVersion)
}

/** Keeps work away from a failure domain for a while. */
export async function evacuate (operator: Operator, failureDomain: FailureDomainId, forMs: number): Promise<void> {
  const { ledger } = operator
  const sentAt = performance.now()
  const isActive = await submit(operator, { type: 'evacuate', failureDomain, isActive: true })
  if (isActive) ledger.confirmed.push({ type: 'evacuate', subject: failureDomain, at: performance.now(), sentAt, version: 0 })
  await sleep(forMs)
  ledger.confirmed.push({ type: 'readmit', subject: failureDomain, at: performance.now(), sentAt: performance.now(), version: 0 })
  const isBack = await submit(operator, { type: 'evacuate', failureDomain, isActive: false })
  if (!isBack) ledger.notes.push(`order: the end of the evacuation of ${failureDomain} had no clear answer in ${orderMs} ms`)
}

async function submit (operator: Operator, command: RouteCommand): Promise<boolean> {
  const answer = await callUntilClear<ChangeAnswer>(operator.client, 'fleet.submit', { command }, orderMs)
  return answer?.ok === true
}

/** Reads the routes again and again. */
export async function keepReading (operator: Operator, isOver: () => boolean): Promise<void> {
  while (!isOver()) {
    const sentAt = performance.now()
    const read = await callAny<RoutesReadResult>(operator.client, 'fleet.read', {}).catch(() => undefined)
    if (read !== undefined) operator.ledger.reads.push({ sentAt, version: read.routesVersion })
    await sleep(readEveryMs)
  }
}

/** What is wrong with the routes that are in force in the end. */
export async function checkFinalRoutes (operator: Operator): Promise<void> {
  const read = await callUntilClear<RoutesReadResult>(operator.client, 'fleet.read', {}, orderMs)
  const newest = Math.max(0, ...operator.ledger.confirmed.filter(({ type }) => type === 'change').map(({ version }) => version))
  const isRight = read !== undefined && (read.routesVersion === newest || (read.routesVersion > newest && operator.unclear.has(read.routesVersion)))
  if (!isRight) operator.ledger.notes.push(`lost: version ${read?.routesVersion ?? 'none'} is in force in the end, ${newest} was confirmed`)
}
