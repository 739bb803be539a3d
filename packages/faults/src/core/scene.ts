/** Builds the modelled system and runs its steady load. */
import { brandId, loadChart, createRandom, createRequestId } from '@lynxcourse/base'
import type { DrainId, ServiceId, ShiftId, ProfileName } from '@lynxcourse/base'
import { scheduleAt, runUntil } from '@lynxcourse/base/timeline'
import type { ChangeAnswer } from '@lynxcourse/state'
import { createChecks, trackRequest } from './checks.js'
import { addControl, initializeCluster, startControl } from './controlModel.js'
import { addEntry, addServer, performLookup, startEntry } from './entryModel.js'
import { submitRequest, sendRead } from './requestModel.js'
import { createNetwork } from './network.js'
import type { Host } from './network.js'
import { addOperator, createChangeId, publishCap, resetProfileChanges, submitChange } from './operators.js'
import type { Operator } from './operators.js'
import type { Charts, Guard, World } from '../types/world.js'

/** Start of the model's time. Request ids contain Unix time, so the start must be a plausible Unix time. */
const startAt = 1_800_000_000_000
const latencyMs = 15

const requestIntervalMs = 30
const readIntervalMs = 12
const lookupIntervalMs = 100
const publishIntervalMs = 700
const copyProbability = 0.1
const highCap = 6
const lowCap = 3

/** Number of profile versions with equal caps, so that a lowered cap has time to take effect. */
const versionsPerCap = 5

/** The entry VMs get most of the load by turns, for this time each, so that their shares of caps have to move. */
const hotPeriodMs = 800
const hotProbability = 0.6

let charts: Charts | undefined

function loadCharts (): Charts {
  charts ??= { claim: loadChart('claim'), crashingRequest: loadChart('crashingRequest'), drain: loadChart('drain'), rollout: loadChart('rollout'), shift: loadChart('shift'), attempt: loadChart('attempt'), role: loadChart('agreementRole') }
  return charts
}

/** A modelled system with its operators. */
export interface Scene {
  readonly world: World
  readonly alice: Operator
  readonly bob: Operator
  /** Newest version of the profile that the operators know. */
  profileVersion: number
  stopped: boolean
}

/** Builds a system of three control VMs, four entry VMs and six servers in three regions. */
export function buildScene (seed: number, disabledGuards: readonly Guard[] = []): Scene {
  resetProfileChanges()
  const world: World = {
    network: createNetwork(createRandom(seed), latencyMs, startAt),
    charts: loadCharts(),
    controls: [],
    entries: [],
    servers: [],
    checks: createChecks(),
    armedFaults: [],
    disabledGuards: new Set(disabledGuards)
  }
  for (const region of ['r1', 'r2', 'r3']) addControl(world, `c-${region}`, region)
  initializeCluster(world)
  for (const [name, region] of [['e1', 'r1'], ['e2', 'r1'], ['e3', 'r2'], ['e4', 'r3']] as const) addEntry(world, name, region)
  for (const region of ['r1', 'r2', 'r3']) {
    for (const number of [1, 2]) addServer(world, `s-${region}-${number}`, region, `${region}-${number}`, 3)
  }
  return { world, alice: addOperator(world, 'alice'), bob: addOperator(world, 'bob'), profileVersion: 0, stopped: false }
}

/** Advances the scene by `ms` of virtual time. */
export function runFor (scene: Scene, ms: number): void {
  runUntil(scene.world.network, scene.world.network.now + ms)
}

function repeatLoad (scene: Scene, intervalMs: number, work: () => void): void {
  scheduleAt(scene.world.network, scene.world.network.now + intervalMs, () => {
    if (scene.stopped) return
    work()
    repeatLoad(scene, intervalMs, work)
  })
}

/** Starts the steady load: once-only requests of which some are duplicated, reads, lookups and profile changes. */
export function startLoad (scene: Scene): void {
  const { world, alice } = scene
  publishNextCap(scene)
  submitChange(world, alice, { type: 'pickProfile', changeId: createChangeId(alice), operator: 'alice', service: brandId<ServiceId>('svc'), profile: brandId<ProfileName>('p') })
  repeatLoad(scene, requestIntervalMs, () => sendRequest(scene))
  repeatLoad(scene, readIntervalMs, () => sendRead(world, chooseEntry(scene)))
  repeatLoad(scene, lookupIntervalMs, () => { for (const entry of world.entries) performLookup(world, entry) })
  repeatLoad(scene, publishIntervalMs, () => publishNextCap(scene))
}

/** Publishes the next profile version; caps alternate between high and low. */
export function publishNextCap (scene: Scene): void {
  const cap = Math.floor(scene.profileVersion / versionsPerCap) % 2 === 0 ? highCap : lowCap
  publishCap(scene.world, scene.alice, scene.profileVersion, cap, answer => updateKnownVersion(scene, answer))
}

/** Updates the known profile version from the answer to a change. */
export function updateKnownVersion (scene: Scene, answer: ChangeAnswer): void {
  if (answer.ok) scene.profileVersion = Math.max(scene.profileVersion, answer.itemVersion)
  else if (answer.winner !== undefined) scene.profileVersion = Math.max(scene.profileVersion, answer.winner.version)
}

/** Starts a drain of one server and a shift, so that their steps are reached. */
export function startDrainAndShift (scene: Scene): void {
  const { world, alice } = scene
  const operator = 'alice'
  submitChange(world, alice, { type: 'startDrain', changeId: createChangeId(alice), operator, drain: brandId<DrainId>('d1'), target: { kind: 'server', name: 's-r1-1' }, at: 0 })
  submitChange(world, alice, { type: 'startShift', changeId: createChangeId(alice), operator, shift: brandId<ShiftId>('m1'), service: brandId<ServiceId>('svc'), from: brandId('r1'), to: brandId('r2'), percent: 100, stepPercent: 20 })
}

function chooseEntry (scene: Scene): World['entries'][number] {
  const { entries, network } = scene.world
  const hot = entries[Math.floor(network.now / hotPeriodMs) % entries.length]
  if (hot !== undefined && network.random() < hotProbability) return hot
  return entries[Math.floor(network.random() * entries.length)] as World['entries'][number]
}

function sendRequest (scene: Scene): void {
  const { world } = scene
  const id = createRequestId(world.network.now, world.network.random)
  trackRequest(world, id)
  submitRequest(world, chooseEntry(scene), id)
  if (world.network.random() >= copyProbability) return
  // The caller resends after a missing answer, or the network delivers a late duplicate.
  const delay = world.network.random() * 900
  scheduleAt(world.network, world.network.now + delay, () => submitRequest(world, chooseEntry(scene), id))
}

/** Kills a process; its scheduled work is dropped. */
export function killHost (host: Host): void {
  host.isAlive = false
  host.isFrozen = false
  host.backlog = []
  host.life += 1
}

/** Restarts a process, from its disk if it has one. */
export function restartHost (scene: Scene, host: Host): void {
  const { world } = scene
  if (host.isAlive) return
  host.isAlive = true
  const control = world.controls.find(model => model.host === host)
  if (control !== undefined) startControl(world, control)
  const entry = world.entries.find(model => model.host === host)
  if (entry !== undefined) startEntry(world, entry)
  const server = world.servers.find(model => model.host === host)
  if (server !== undefined) server.busy = 0
}
