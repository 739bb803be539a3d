/** Builds the small system and its steady load. */
import { brandId, loadChart, createRandom, createRequestId } from '@lynxcourse/base'
import type { DrainId, ServiceId, ShiftId, ProfileName } from '@lynxcourse/base'
import { scheduleAt, runUntil } from '@lynxcourse/base/timeline'
import type { ChangeAnswer } from '@lynxcourse/state'
import { createChecks, trackRequest } from './checks.js'
import { addControl, foundCluster, startControl } from './controlModel.js'
import { addEntry, addServer, lookUp, startEntry } from './entryModel.js'
import { handIn, readOnce } from './requestModel.js'
import { createNetwork } from './network.js'
import type { Host } from './network.js'
import { addOperator, nextChangeId, publishCap, resetOperators, submitChange } from './operators.js'
import type { Operator } from './operators.js'
import type { Charts, Guard, World } from '../types/world.js'

/** Where the model's time starts: request ids carry Unix time, so it must look like one. */
const startAt = 1_800_000_000_000
const latencyMs = 15

const requestEveryMs = 30
const readEveryMs = 12
const lookupEveryMs = 100
const publishEveryMs = 700
const copyShare = 0.1
const highCap = 6
const lowCap = 3

/** The cap changes with each so many profile changes, so that a lowered one has time to take hold. */
const capChangesEvery = 5

/** One VM after the other gets most of the load, so that shares of caps have to move. */
const hotMs = 800
const hotShare = 0.6

let charts: Charts | undefined

function loadCharts (): Charts {
  charts ??= { claim: loadChart('claim'), drain: loadChart('drain'), shift: loadChart('shift'), attempt: loadChart('attempt'), role: loadChart('agreementRole') }
  return charts
}

/** A world with its operators. */
export interface Scene {
  readonly world: World
  readonly alice: Operator
  readonly bob: Operator
  /** Version of the profile as the operators know it. */
  profileVersion: number
  stopped: boolean
}

/** Builds three control VMs, four entry VMs and six servers in three regions. */
export function buildScene (seed: number, without: readonly Guard[] = []): Scene {
  resetOperators()
  const world: World = {
    network: createNetwork(createRandom(seed), latencyMs, startAt),
    charts: loadCharts(),
    controls: [],
    entries: [],
    servers: [],
    checks: createChecks(),
    armed: [],
    without: new Set(without)
  }
  for (const region of ['r1', 'r2', 'r3']) addControl(world, `c-${region}`, region)
  foundCluster(world)
  for (const [name, region] of [['e1', 'r1'], ['e2', 'r1'], ['e3', 'r2'], ['e4', 'r3']] as const) addEntry(world, name, region)
  for (const region of ['r1', 'r2', 'r3']) {
    for (const number of [1, 2]) addServer(world, `s-${region}-${number}`, region, `${region}-${number}`, 3)
  }
  return { world, alice: addOperator(world, 'alice'), bob: addOperator(world, 'bob'), profileVersion: 0, stopped: false }
}

/** Runs the scene on. */
export function runFor (scene: Scene, ms: number): void {
  runUntil(scene.world.network, scene.world.network.now + ms)
}

function every (scene: Scene, everyMs: number, work: () => void): void {
  scheduleAt(scene.world.network, scene.world.network.now + everyMs, () => {
    if (scene.stopped) return
    work()
    every(scene, everyMs, work)
  })
}

/** Starts the steady load: requests with some copies, look-ups, profile changes, a drain and a shift. */
export function startLoad (scene: Scene): void {
  const { world, alice } = scene
  publishNext(scene)
  submitChange(world, alice, { type: 'pickProfile', changeId: nextChangeId(alice), operator: 'alice', service: brandId<ServiceId>('svc'), profile: brandId<ProfileName>('p') })
  every(scene, requestEveryMs, () => sendRequest(scene))
  every(scene, readEveryMs, () => readOnce(world, pickEntry(scene)))
  every(scene, lookupEveryMs, () => { for (const entry of world.entries) lookUp(world, entry) })
  every(scene, publishEveryMs, () => publishNext(scene))
}

/** The next profile change; caps go up and down. */
export function publishNext (scene: Scene): void {
  const cap = Math.floor(scene.profileVersion / capChangesEvery) % 2 === 0 ? highCap : lowCap
  publishCap(scene.world, scene.alice, scene.profileVersion, cap, answer => learnVersion(scene, answer))
}

/** Takes over what an answer says of the profile's version. */
export function learnVersion (scene: Scene, answer: ChangeAnswer): void {
  if (answer.ok) scene.profileVersion = Math.max(scene.profileVersion, answer.itemVersion)
  else if (answer.winner !== undefined) scene.profileVersion = Math.max(scene.profileVersion, answer.winner.version)
}

/** Starts a drain of one server and a shift, whose steps the matrix strikes at. */
export function startMoves (scene: Scene): void {
  const { world, alice } = scene
  const operator = 'alice'
  submitChange(world, alice, { type: 'startDrain', changeId: nextChangeId(alice), operator, drain: brandId<DrainId>('d1'), target: { kind: 'server', name: 's-r1-1' }, at: 0 })
  submitChange(world, alice, { type: 'startShift', changeId: nextChangeId(alice), operator, shift: brandId<ShiftId>('m1'), service: brandId<ServiceId>('svc'), from: brandId('r1'), to: brandId('r2'), percent: 100, stepPercent: 20 })
}

function pickEntry (scene: Scene): World['entries'][number] {
  const { entries, network } = scene.world
  const hot = entries[Math.floor(network.now / hotMs) % entries.length]
  if (hot !== undefined && network.random() < hotShare) return hot
  return entries[Math.floor(network.random() * entries.length)] as World['entries'][number]
}

function sendRequest (scene: Scene): void {
  const { world } = scene
  const id = createRequestId(world.network.now, world.network.random)
  trackRequest(world, id)
  handIn(world, pickEntry(scene), id)
  if (world.network.random() >= copyShare) return
  // A caller that heard nothing resends, or the network brings a late copy.
  const delay = world.network.random() * 900
  scheduleAt(world.network, world.network.now + delay, () => handIn(world, pickEntry(scene), id))
}

/** Ends a process; what it had planned is void. */
export function killHost (host: Host): void {
  host.alive = false
  host.frozen = false
  host.backlog = []
  host.life += 1
}

/** Starts a process again, from its disk if it has one. */
export function restartHost (scene: Scene, host: Host): void {
  const { world } = scene
  if (host.alive) return
  host.alive = true
  const control = world.controls.find(model => model.host === host)
  if (control !== undefined) startControl(world, control)
  const entry = world.entries.find(model => model.host === host)
  if (entry !== undefined) startEntry(world, entry)
  const server = world.servers.find(model => model.host === host)
  if (server !== undefined) server.busy = 0
}
