/** A control VM of the model: agreement, state machine, grants and plans, with a disk that lasts. */
import { createReplica, createInitialSnapshot } from '@lynxcourse/agreement'
import type { Snapshot } from '@lynxcourse/agreement'
import { createHolderId } from '@lynxcourse/base'
import type { HolderId, Incarnation, Millis, VmId } from '@lynxcourse/base'
import { createConfigLease } from '@lynxcourse/membership'
import { createConfig, createStateMachine, deserializeStateMachine } from '@lynxcourse/state'
import { addHost, planAt, send } from './network.js'
import type { Host } from './network.js'
import { times } from './times.js'
import type { ControlModel, World } from '../types/world.js'
import { doDuties, newGrantor } from './controlDuties.js'
import { feed } from './controlLog.js'

const tickMs = 20
const dutyMs = 100
const joinMs = 500

/** Adds a control VM with an empty disk. */
export function addControl (world: World, vm: string, region: string): ControlModel {
  const host = addHost(world.network, vm, region)
  const control: ControlModel = {
    kind: 'control',
    host,
    vm: vm as VmId,
    disk: { incarnation: 'i1', cluster: false, stored: undefined },
    replica: undefined,
    machine: createStateMachine(world.charts),
    placed: new Map(),
    grantor: newGrantor(),
    progress: new Map(),
    drainsSeen: new Map(),
    view: createConfig(),
    currency: createConfigLease(times.leaseMs)
  }
  world.controls.push(control)
  return control
}

export function idOf (control: ControlModel): HolderId {
  return createHolderId(control.vm, control.disk.incarnation as Incarnation)
}

/** Writes the first snapshot of a cluster to a blank disk. */
function fillDisk ({ disk }: ControlModel, snapshot: Snapshot): void {
  disk.cluster = true
  disk.stored = { hardState: { term: 0, votedFor: undefined }, snapshot, entries: [] }
}

/** Founds the cluster of all control VMs. */
export function foundCluster (world: World): void {
  const snapshot = createInitialSnapshot(world.controls.map(idOf), '')
  for (const control of world.controls) {
    fillDisk(control, snapshot)
    startControl(world, control)
  }
}

/** Starts the process from what the disk holds; all else is forgotten. */
export function startControl (world: World, control: ControlModel): void {
  control.replica = undefined
  control.placed = new Map()
  control.grantor = newGrantor()
  control.progress = new Map()
  control.drainsSeen = new Map()
  control.view = createConfig()
  control.currency = createConfigLease(times.leaseMs)
  control.machine = deserializeStateMachine(world.charts, control.disk.stored?.snapshot.data ?? '')
  startReplica(world, control)
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
    fillDisk(control, createInitialSnapshot([], ''))
    startReplica(world, control)
  }
  for (const other of world.controls) {
    if (other === control) continue
    send(world.network, control.host, other.host, () => feed(world, other, { type: 'join', id: idOf(control) }))
  }
}

/** Starts the copy of the log, if the disk holds one. */
function startReplica ({ network, charts }: World, control: ControlModel): void {
  const { stored } = control.disk
  if (stored === undefined) return
  control.replica = createReplica({
    id: idOf(control), cluster: 'c', chart: charts.role, times: { heartbeatMs: times.heartbeatMs, electionMs: times.electionMs }, random: network.random, stored
  }, network.now)
}
