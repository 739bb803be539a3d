/** A control VM's replica of the log: passes events to the replica, and persists, sends and applies its output. */
import { isEstablishedLeader, stepReplica } from '@lynxcourse/agreement'
import type { HardState, ReplicaOutput, ReplicaEvent, Snapshot } from '@lynxcourse/agreement'
import { getHolderVm } from '@lynxcourse/base'
import { applyEntry, listCaps, listItems, deserializeStateMachine, serializeStateMachine } from '@lynxcourse/state'
import type { CommandAnswer, Command } from '@lynxcourse/state'
import { send } from './network.js'
import { checkCommitted, enterStep } from './checks.js'
import type { ControlModel, World } from '../types/world.js'

const compactionThreshold = 300

/** Passes an event to the control VM's replica, and persists, sends and applies the output. */
export function processEvent (world: World, control: ControlModel, event: ReplicaEvent): void {
  const { replica } = control
  if (replica === undefined || !control.host.isAlive) return
  const membersBefore = replica.members
  const output = stepReplica(replica, event, world.network.now)
  const { life } = control.host
  if (replica.members !== membersBefore) enterStep(world, 'repair', control.host)
  // A fault that killed the host at this step precedes the disk sync: none of the output is persisted or sent.
  if (!control.host.isAlive || control.host.life !== life) return
  persist(world, control, output)
  sendMessages(world, control, output)
  applyOutput(world, control, output)
  if (output.hardState === undefined && output.entries.length === 0 && output.snapshot === undefined) return
  const outputAfterSync = stepReplica(replica, { type: 'synced' }, world.network.now)
  sendMessages(world, control, outputAfterSync)
  applyOutput(world, control, outputAfterSync)
  compact(world, control)
}

function persist (world: World, control: ControlModel, output: ReplicaOutput): void {
  const { replica, disk } = control
  if (replica === undefined || disk.stored === undefined) return
  if (world.disabledGuards.has('preSync')) return
  const hardState: HardState = output.hardState ?? disk.stored.hardState
  const snapshot: Snapshot = output.snapshot ?? disk.stored.snapshot
  disk.stored = { hardState, snapshot, entries: [...replica.entries] }
}

function sendMessages (world: World, control: ControlModel, output: ReplicaOutput): void {
  for (const envelope of output.messages) {
    const target = world.controls.find(other => other.vm === getHolderVm(envelope.to))
    if (target === undefined) continue
    send(world.network, control.host, target.host, () => processEvent(world, target, { type: 'receive', envelope }))
  }
}

function applyOutput (world: World, control: ControlModel, output: ReplicaOutput): void {
  if (output.installSnapshot && output.snapshot !== undefined) control.machine = deserializeStateMachine(world.charts, output.snapshot.data)
  for (const entry of output.committed) {
    checkCommitted(world, control.vm, entry)
    const previousVersion = control.machine.config.version
    const answer = applyEntry(control.machine, entry)
    if (control.machine.config.version !== previousVersion) recordAppliedConfig(world, control)
    const proposal = control.pendingProposals.get(entry.index)
    control.pendingProposals.delete(entry.index)
    if (proposal !== undefined && proposal.term === entry.term) proposal.done(answer)
  }
}

/** Records the time at which a version, its drains and its caps were first applied by any control VM. */
function recordAppliedConfig (world: World, control: ControlModel): void {
  const { checks, network } = world
  const { config } = control.machine
  if (checks.applied.has(config.version)) return
  checks.applied.set(config.version, network.now)
  for (const drain of listItems(config, 'drain')) {
    const isActive = drain.state === 'draining' || drain.state === 'drained'
    if (isActive && !checks.drained.has(drain.target.name)) checks.drained.set(drain.target.name, network.now)
    if (drain.state === 'cancelled') checks.drained.delete(drain.target.name)
  }
  const cap = Math.max(0, ...listCaps(config).values())
  if (checks.caps.at(-1)?.cap !== cap) checks.caps.push({ at: network.now, cap })
}

function compact (world: World, control: ControlModel): void {
  const { replica, machine } = control
  if (replica === undefined || machine.applied - replica.snapshot.index < compactionThreshold) return
  const output = stepReplica(replica, { type: 'compact', index: machine.applied, data: serializeStateMachine(machine) }, world.network.now)
  persist(world, control, output)
}

/** Returns whether a control VM is the established leader. */
export function isLeader (control: ControlModel): boolean {
  return control.replica !== undefined && isEstablishedLeader(control.replica)
}

/**
 * Proposes a command and returns whether this control VM is the leader. `done` is called only if the command is committed
 * before the process dies.
 */
export function propose (world: World, control: ControlModel, command: Command, done: (answer: CommandAnswer) => void): boolean {
  const { replica } = control
  if (replica === undefined || !isLeader(control)) return false
  const index = replica.snapshot.index + replica.entries.length + 1
  control.pendingProposals.set(index, { term: replica.term, done })
  processEvent(world, control, { type: 'propose', commands: [command] })
  return true
}
