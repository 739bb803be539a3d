/** A control VM of the model: agreement, state machine, grants and leader tasks, with a persistent disk. */
import { createReplica, createInitialSnapshot } from '@lynxcourse/agreement'
import type { Snapshot } from '@lynxcourse/agreement'
import { createHolderId } from '@lynxcourse/base'
import type { HolderId, Incarnation, Millis, VmId } from '@lynxcourse/base'
import { createConfigLease } from '@lynxcourse/membership'
import { createConfig, createStateMachine, deserializeStateMachine } from '@lynxcourse/state'
import { addHost, scheduleAtHost, send } from './network.js'
import type { Host } from './network.js'
import { times } from './times.js'
import type { ControlModel, World } from '../types/world.js'
import { runPeriodicTasks, createModelGrantor } from './controlTasks.js'
import { processEvent } from './controlLog.js'

const tickIntervalMs = 20
const taskIntervalMs = 100
const joinIntervalMs = 500

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
    pendingProposals: new Map(),
    grantor: createModelGrantor(),
    progress: new Map(),
    drainFirstSeenAt: new Map(),
    publishedConfig: createConfig(),
    configLease: createConfigLease(times.leaseMs)
  }
  world.controls.push(control)
  return control
}

export function getControlId (control: ControlModel): HolderId {
  return createHolderId(control.vm, control.disk.incarnation as Incarnation)
}

/** Writes the initial snapshot of a cluster to an empty disk. */
function initializeDisk ({ disk }: ControlModel, snapshot: Snapshot): void {
  disk.cluster = true
  disk.stored = { hardState: { term: 0, votedFor: undefined }, snapshot, entries: [] }
}

/** Initializes a cluster of all control VMs and starts them. */
export function initializeCluster (world: World): void {
  const snapshot = createInitialSnapshot(world.controls.map(getControlId), '')
  for (const control of world.controls) {
    initializeDisk(control, snapshot)
    startControl(world, control)
  }
}

/** Starts the process from the state on its disk; all other state is reset. */
export function startControl (world: World, control: ControlModel): void {
  control.replica = undefined
  control.pendingProposals = new Map()
  control.grantor = createModelGrantor()
  control.progress = new Map()
  control.drainFirstSeenAt = new Map()
  control.publishedConfig = createConfig()
  control.configLease = createConfigLease(times.leaseMs)
  control.machine = deserializeStateMachine(world.charts, control.disk.stored?.snapshot.data ?? '')
  startReplica(world, control)
  scheduleRepeatedly(world, control.host, tickIntervalMs, () => processEvent(world, control, { type: 'tick' }))
  scheduleRepeatedly(world, control.host, taskIntervalMs, () => runPeriodicTasks(world, control))
  scheduleRepeatedly(world, control.host, joinIntervalMs, () => requestJoin(world, control))
}

/** Runs work at a host at regular intervals until the host dies. */
export function scheduleRepeatedly (world: World, host: Host, intervalMs: Millis, work: () => void): void {
  scheduleAtHost(world.network, host, intervalMs, () => {
    work()
    scheduleRepeatedly(world, host, intervalMs, work)
  })
}

/** Asks the other control VMs to be added as a member, if this replica is none. */
function requestJoin (world: World, control: ControlModel): void {
  const isMember = control.replica?.members.some(member => member.id === getControlId(control)) ?? false
  if (isMember) return
  if (control.replica === undefined) {
    initializeDisk(control, createInitialSnapshot([], ''))
    startReplica(world, control)
  }
  for (const other of world.controls) {
    if (other === control) continue
    send(world.network, control.host, other.host, () => processEvent(world, other, { type: 'join', id: getControlId(control) }))
  }
}

/** Starts the replica if the disk contains a log. */
function startReplica ({ network, charts }: World, control: ControlModel): void {
  const { stored } = control.disk
  if (stored === undefined) return
  control.replica = createReplica({
    id: getControlId(control), cluster: 'c', chart: charts.role, times: { heartbeatMs: times.heartbeatMs, electionMs: times.electionMs }, random: network.random, stored
  }, network.now)
}
