/** A control VM of the model: agreement, state machine, grants and plans, with a disk that lasts. */
import { createReplica, firstSnapshot, isSettledLeader, stepReplica } from '@lynxcourse/agreement'
import type { HardState, Output, ReplicaEvent, Snapshot } from '@lynxcourse/agreement'
import { holderOf, vmOfHolder } from '@lynxcourse/base'
import type { HolderId, Incarnation, Millis, VmId } from '@lynxcourse/base'
import { createGrantor } from '@lynxcourse/limits'
import { createCurrency } from '@lynxcourse/membership'
import { applyEntry, createConfig, createMachine, listCaps, listItems, readMachine, writeMachine } from '@lynxcourse/state'
import type { Answer, Command } from '@lynxcourse/state'
import { addHost, planAt, send } from './network.js'
import type { Host } from './network.js'
import { checkCommitted, passStep } from './checks.js'
import { times } from './times.js'
import type { ControlModel, World } from '../types/world.js'
import { doDuties } from './controlDuties.js'

const tickMs = 20
const dutyMs = 100
const joinMs = 500
const compactEvery = 300

/** Adds a control VM with an empty disk. */
export function addControl (world: World, vm: string, region: string): ControlModel {
  const host = addHost(world.network, vm, region)
  const control: ControlModel = {
    kind: 'control',
    host,
    vm: vm as VmId,
    disk: { incarnation: 'i1', cluster: false, stored: undefined },
    replica: undefined,
    machine: createMachine(world.charts),
    placed: new Map(),
    grantor: createGrantor(times.grantMs, times.deadlineMs + times.electionMs),
    progress: new Map(),
    drainsSeen: new Map(),
    view: createConfig(),
    currency: createCurrency(times.leaseMs)
  }
  world.controls.push(control)
  return control
}

export function idOf (control: ControlModel): HolderId {
  return holderOf(control.vm, control.disk.incarnation as Incarnation)
}

/** Founds the cluster of all control VMs. */
export function foundCluster (world: World): void {
  const snapshot = firstSnapshot(world.controls.map(idOf), '')
  for (const control of world.controls) {
    control.disk.cluster = true
    control.disk.stored = { hardState: { term: 0, votedFor: undefined }, snapshot, entries: [] }
    startControl(world, control)
  }
}

/** Starts the process from what the disk holds; all else is forgotten. */
export function startControl (world: World, control: ControlModel): void {
  const { network, charts } = world
  control.replica = undefined
  control.placed = new Map()
  control.grantor = createGrantor(times.grantMs, times.deadlineMs + times.electionMs)
  control.progress = new Map()
  control.drainsSeen = new Map()
  control.view = createConfig()
  control.currency = createCurrency(times.leaseMs)
  const { stored } = control.disk
  control.machine = readMachine(charts, stored?.snapshot.data ?? '')
  if (stored !== undefined) {
    control.replica = createReplica({
      id: idOf(control), cluster: 'c', chart: charts.role, times: { heartbeatMs: times.heartbeatMs, electionMs: times.electionMs }, random: network.random, stored
    }, network.now)
  }
  repeatAt(world, control.host, tickMs, () => feed(world, control, { type: 'tick' }))
  repeatAt(world, control.host, dutyMs, () => doDuties(world, control))
  repeatAt(world, control.host, joinMs, () => tryJoin(world, control))
}

/** Runs work at a host again and again while this life of it lasts. */
export function repeatAt (world: World, host: Host, everyMs: Millis, work: () => void): void {
  planAt(world.network, host, everyMs, () => {
    work()
    repeatAt(world, host, everyMs, work)
  })
}

/** A copy that is no member asks the others to be let in. */
function tryJoin (world: World, control: ControlModel): void {
  const isMember = control.replica?.members.some(member => member.id === idOf(control)) ?? false
  if (isMember) return
  if (control.replica === undefined) {
    const snapshot = firstSnapshot([], '')
    control.disk.cluster = true
    control.disk.stored = { hardState: { term: 0, votedFor: undefined }, snapshot, entries: [] }
    startReplicaOnly(world, control)
  }
  for (const other of world.controls) {
    if (other === control) continue
    send(world.network, control.host, other.host, () => feed(world, other, { type: 'join', id: idOf(control) }))
  }
}

function startReplicaOnly (world: World, control: ControlModel): void {
  const { stored } = control.disk
  if (stored === undefined) return
  control.replica = createReplica({
    id: idOf(control), cluster: 'c', chart: world.charts.role, times: { heartbeatMs: times.heartbeatMs, electionMs: times.electionMs }, random: world.network.random, stored
  }, world.network.now)
}

/** Feeds an event to the copy of the log and carries out what it says. */
export function feed (world: World, control: ControlModel, event: ReplicaEvent): void {
  const { replica } = control
  if (replica === undefined || !control.host.alive) return
  const membersBefore = replica.members
  const out = stepReplica(replica, event, world.network.now)
  const { life } = control.host
  if (replica.members !== membersBefore) passStep(world, 'repair', control.host)
  // A fault that struck at this step came before the sync: nothing of it was saved or sent.
  if (!control.host.alive || control.host.life !== life) return
  save(world, control, out)
  sendMessages(world, control, out)
  applyOutput(world, control, out)
  if (out.hardState === undefined && out.entries.length === 0 && out.snapshot === undefined) return
  const after = stepReplica(replica, { type: 'synced' }, world.network.now)
  sendMessages(world, control, after)
  applyOutput(world, control, after)
  compact(world, control)
}

function save (world: World, control: ControlModel, out: Output): void {
  const { replica, disk } = control
  if (replica === undefined || disk.stored === undefined) return
  if (world.without.has('preSync')) return
  const hardState: HardState = out.hardState ?? disk.stored.hardState
  const snapshot: Snapshot = out.snapshot ?? disk.stored.snapshot
  disk.stored = { hardState, snapshot, entries: [...replica.entries] }
}

function sendMessages (world: World, control: ControlModel, out: Output): void {
  for (const envelope of out.messages) {
    const target = world.controls.find(other => other.vm === vmOfHolder(envelope.to))
    if (target === undefined) continue
    send(world.network, control.host, target.host, () => feed(world, target, { type: 'receive', envelope }))
  }
}

function applyOutput (world: World, control: ControlModel, out: Output): void {
  if (out.install && out.snapshot !== undefined) control.machine = readMachine(world.charts, out.snapshot.data)
  for (const entry of out.committed) {
    checkCommitted(world, control.vm, entry)
    const before = control.machine.config.version
    const answer = applyEntry(control.machine, entry)
    if (control.machine.config.version !== before) noteApplied(world, control)
    const placed = control.placed.get(entry.index)
    control.placed.delete(entry.index)
    if (placed !== undefined && placed.term === entry.term) placed.done(answer)
  }
}

/** Notes when versions, drains and caps were first applied anywhere. */
function noteApplied (world: World, control: ControlModel): void {
  const { checks, network } = world
  const { config } = control.machine
  if (checks.applied.has(config.version)) return
  checks.applied.set(config.version, network.now)
  for (const drain of listItems(config, 'drain')) {
    const isOn = drain.state === 'draining' || drain.state === 'drained'
    if (isOn && !checks.drained.has(drain.target.name)) checks.drained.set(drain.target.name, network.now)
    if (drain.state === 'cancelled') checks.drained.delete(drain.target.name)
  }
  const cap = Math.max(0, ...listCaps(config).values())
  if (checks.caps.at(-1)?.cap !== cap) checks.caps.push({ at: network.now, cap })
}

function compact (world: World, control: ControlModel): void {
  const { replica, machine } = control
  if (replica === undefined || machine.applied - replica.snapshot.index < compactEvery) return
  const out = stepReplica(replica, { type: 'compact', index: machine.applied, data: writeMachine(machine) }, world.network.now)
  save(world, control, out)
}

export function leadsNow (control: ControlModel): boolean {
  return control.replica !== undefined && isSettledLeader(control.replica)
}

/** Proposes a command; `done` is called only if it is committed while this life lasts. */
export function propose (world: World, control: ControlModel, command: Command, done: (answer: Answer) => void): boolean {
  const { replica } = control
  if (replica === undefined || !leadsNow(control)) return false
  const index = replica.snapshot.index + replica.entries.length + 1
  control.placed.set(index, { term: replica.term, done })
  feed(world, control, { type: 'propose', commands: [command] })
  return true
}
