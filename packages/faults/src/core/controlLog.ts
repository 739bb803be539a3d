/** A control VM's copy of the log in the model: feeding it, and carrying out what it says. */
import { isEstablishedLeader, stepReplica } from '@lynxcourse/agreement'
import type { HardState, ReplicaOutput, ReplicaEvent, Snapshot } from '@lynxcourse/agreement'
import { getHolderVm } from '@lynxcourse/base'
import { applyEntry, listCaps, listItems, deserializeStateMachine, serializeStateMachine } from '@lynxcourse/state'
import type { CommandAnswer, Command } from '@lynxcourse/state'
import { send } from './network.js'
import { checkCommitted, passStep } from './checks.js'
import type { ControlModel, World } from '../types/world.js'

const compactEvery = 300

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

function save (world: World, control: ControlModel, out: ReplicaOutput): void {
  const { replica, disk } = control
  if (replica === undefined || disk.stored === undefined) return
  if (world.without.has('preSync')) return
  const hardState: HardState = out.hardState ?? disk.stored.hardState
  const snapshot: Snapshot = out.snapshot ?? disk.stored.snapshot
  disk.stored = { hardState, snapshot, entries: [...replica.entries] }
}

function sendMessages (world: World, control: ControlModel, out: ReplicaOutput): void {
  for (const envelope of out.messages) {
    const target = world.controls.find(other => other.vm === getHolderVm(envelope.to))
    if (target === undefined) continue
    send(world.network, control.host, target.host, () => feed(world, target, { type: 'receive', envelope }))
  }
}

function applyOutput (world: World, control: ControlModel, out: ReplicaOutput): void {
  if (out.installSnapshot && out.snapshot !== undefined) control.machine = deserializeStateMachine(world.charts, out.snapshot.data)
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
  const out = stepReplica(replica, { type: 'compact', index: machine.applied, data: serializeStateMachine(machine) }, world.network.now)
  save(world, control, out)
}

export function leadsNow (control: ControlModel): boolean {
  return control.replica !== undefined && isEstablishedLeader(control.replica)
}

/** Proposes a command; `done` is called only if it is committed while this life lasts. */
export function propose (world: World, control: ControlModel, command: Command, done: (answer: CommandAnswer) => void): boolean {
  const { replica } = control
  if (replica === undefined || !leadsNow(control)) return false
  const index = replica.snapshot.index + replica.entries.length + 1
  control.placed.set(index, { term: replica.term, done })
  feed(world, control, { type: 'propose', commands: [command] })
  return true
}
