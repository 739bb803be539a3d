/** A group of copies of the log over links with a delay and a bandwidth, whose calls end after a time as those of a host do. */
import assert from 'node:assert/strict'
import { brandId, createRandom, getHolderVm, hashText, loadChart } from '@lynxcourse/base'
import type { HolderId, Millis, Random } from '@lynxcourse/base'
import { createInitialSnapshot, createReplica, getEntrySize, hasData, isEstablishedLeader, isTransferring, lastIndex, stepReplica, voters } from '@lynxcourse/agreement'
import type { Entry, Envelope, Replica, ReplicaEvent, ReplicaOutput, StoredLog } from '@lynxcourse/agreement'

const chart = loadChart('agreementRole')
const times = { heartbeatMs: 120, electionMs: 700 }
const tickMs = 30
const stepMs = 5
const joinIntervalMs = 1000
const lostDisk: StoredLog = { hardState: { term: 0, votedFor: undefined }, snapshot: createInitialSnapshot([], ''), entries: [] }

export interface Links {
  /** One-way delay. */
  readonly delayMs: Millis
  /** Characters per millisecond in each direction between two copies, shared by all messages under way. */
  readonly bandwidth: number
  /** Time after which a call that was not delivered fails. */
  readonly callMs: Millis
  /** Rate in characters per millisecond at which a call gets more time for a larger message; undefined for none. */
  readonly minBandwidth?: number
}

/** Size of the log at which a host replaces it by a snapshot, in characters. */
const maxLogSize = 1_048_576

/** Size up to which a host delays this while a snapshot is on its way. */
const maxDelayedLogSize = 4 * maxLogSize

/** The values of the state by their slots, and the number of commands that were applied. */
interface State {
  count: number
  slots: Array<[number, string]>
}

export interface SlowCopy {
  id: HolderId
  disk: StoredLog
  replica: Replica | undefined
  state: State
  joinAt: Millis
}

interface Transmission {
  readonly envelope: Envelope
  readonly sentAt: Millis
  readonly failsAt: Millis
  left: number
}

export interface SlowGroup {
  now: Millis
  readonly links: Links
  readonly random: Random
  copies: SlowCopy[]
  transmissions: Transmission[]
  /** Messages that carried entries or parts of a snapshot, and those of them that were lost, by recipient. */
  sent: number
  failed: number
  largest: number
  /** Characters of the messages that carried entries or parts. */
  dataSize: number
  committed: Map<number, string>
  /** Whether a message can't pass; it fails once its call has ended. */
  isCut: (envelope: Envelope) => boolean
  /** Whether the recipient refuses a message as malformed. */
  isRefused: (envelope: Envelope) => boolean
}

export function createSlowGroup (size: number, links: Links, seed: number): SlowGroup {
  const ids = Array.from({ length: size }, (_, number) => brandId<HolderId>(`v${number}/i1`))
  const group: SlowGroup = { now: 1000, links, random: createRandom(seed), copies: [], transmissions: [], sent: 0, failed: 0, largest: 0, dataSize: 0, committed: new Map(), isCut: () => false, isRefused: () => false }
  for (const id of ids) {
    group.copies.push({ id, disk: { ...lostDisk, snapshot: createInitialSnapshot(ids, '') }, replica: undefined, state: { count: 0, slots: [] }, joinAt: Infinity })
  }
  for (const copy of group.copies) startCopy(group, copy)
  return group
}

export function startCopy (group: SlowGroup, copy: SlowCopy): void {
  copy.replica = createReplica({ id: copy.id, cluster: 'c', chart, times, random: createRandom(hashText(copy.id) + group.now), stored: copy.disk }, group.now)
  copy.state = parseState(copy.disk.snapshot.data)
}

export function stopCopy (copy: SlowCopy): void {
  copy.replica = undefined
}

/** Ends a copy and gives its VM an empty disk with a new incarnation. */
export function loseDisk (group: SlowGroup, copy: SlowCopy): void {
  stopCopy(copy)
  const vm = getHolderVm(copy.id)
  copy.id = brandId<HolderId>(`${vm}/i${Number(copy.id.slice(vm.length + 2)) + 1}`)
  copy.disk = lostDisk
  copy.joinAt = group.now
}

function parseState (data: string): State {
  return data === '' ? { count: 0, slots: [] } : JSON.parse(data) as State
}

function applyCommand ({ state }: SlowCopy, { body }: Entry): void {
  if (body.type !== 'command') return
  const { slot, value } = body.command as { slot: number, value: string }
  state.count += 1
  const slots = new Map(state.slots)
  slots.set(slot, value)
  state.slots = [...slots]
}

function executeOutput (group: SlowGroup, copy: SlowCopy, out: ReplicaOutput): void {
  const replica = copy.replica as Replica
  copy.disk = { hardState: out.hardState ?? copy.disk.hardState, snapshot: out.snapshot ?? copy.disk.snapshot, entries: [...replica.entries] }
  for (const envelope of out.messages) transmit(group, envelope)
  if (out.installSnapshot && out.snapshot !== undefined) copy.state = parseState(out.snapshot.data)
  for (const entry of out.committed) {
    const text = JSON.stringify(entry)
    assert.equal(group.committed.get(entry.index) ?? text, text, `two different entries committed at index ${entry.index}`)
    group.committed.set(entry.index, text)
    applyCommand(copy, entry)
  }
}

function transmit (group: SlowGroup, envelope: Envelope): void {
  const size = JSON.stringify(envelope).length
  group.largest = Math.max(group.largest, size)
  if (hasData(envelope.message)) {
    group.sent += 1
    group.dataSize += size
  }
  const { callMs, minBandwidth = Infinity } = group.links
  group.transmissions.push({ envelope, sentAt: group.now, failsAt: group.now + callMs + size / minBandwidth, left: size })
}

/** Ends all connections of a copy: the messages on their way from and to it fail. */
export function resetConnections (group: SlowGroup, { id }: SlowCopy): void {
  const failed = group.transmissions.filter(({ envelope: { from, to } }) => from === id || to === id)
  group.transmissions = group.transmissions.filter(transmission => !failed.includes(transmission))
  for (const { envelope } of failed) reportFailure(group, envelope)
}

export function step (group: SlowGroup, copy: SlowCopy, event: ReplicaEvent): void {
  if (copy.replica === undefined) return
  executeOutput(group, copy, stepReplica(copy.replica, event, group.now))
  executeOutput(group, copy, stepReplica(copy.replica, { type: 'synced' }, group.now))
}

/** Moves time on by one step: bytes over the links, calls that end, ticks, requests to join and compactions. */
function advance (group: SlowGroup): void {
  group.now += stepMs
  moveBytes(group)
  for (const copy of group.copies) {
    if (copy.joinAt <= group.now) requestJoin(group, copy)
    if (group.now % tickMs < stepMs) step(group, copy, { type: 'tick' })
    compactIfLarge(group, copy)
  }
}

function moveBytes (group: SlowGroup): void {
  const { delayMs, bandwidth } = group.links
  const perLink = new Map<string, Transmission[]>()
  for (const transmission of group.transmissions) {
    const { from, to } = transmission.envelope
    perLink.set(`${from} ${to}`, [...perLink.get(`${from} ${to}`) ?? [], transmission])
  }
  const done: Transmission[] = []
  for (const link of perLink.values()) {
    for (const transmission of link) if (!group.isCut(transmission.envelope)) transmission.left -= bandwidth * stepMs / link.length
    done.push(...link.filter(({ left, sentAt }) => left <= 0 && group.now - sentAt >= delayMs))
  }
  const isExpired = ({ failsAt }: Transmission): boolean => group.now > failsAt
  const expired = group.transmissions.filter(transmission => !done.includes(transmission) && isExpired(transmission))
  group.transmissions = group.transmissions.filter(transmission => !done.includes(transmission) && !isExpired(transmission))
  for (const { envelope } of done) deliver(group, envelope)
  for (const { envelope } of expired) reportFailure(group, envelope)
}

function deliver (group: SlowGroup, envelope: Envelope): void {
  const target = group.copies.find(({ id, replica }) => id === envelope.to && replica !== undefined)
  if (target === undefined || group.isRefused(envelope)) reportFailure(group, envelope)
  else step(group, target, { type: 'receive', envelope: structuredClone(envelope) })
}

function reportFailure (group: SlowGroup, envelope: Envelope): void {
  if (!hasData(envelope.message)) return
  group.failed += 1
  const sender = group.copies.find(({ id }) => id === envelope.from)
  if (sender !== undefined) step(group, sender, { type: 'undelivered', envelope, isRefused: group.isRefused(envelope) })
}

function requestJoin (group: SlowGroup, copy: SlowCopy): void {
  if (copy.replica === undefined) startCopy(group, copy)
  const isMember = copy.replica?.members.some(({ id }) => id === copy.id) === true
  copy.joinAt = isMember ? Infinity : group.now + joinIntervalMs
  const leader = findLeader(group)
  if (!isMember && leader !== undefined) step(group, leader, { type: 'join', id: copy.id })
}

function compactIfLarge (group: SlowGroup, copy: SlowCopy): void {
  const { replica } = copy
  if (replica === undefined || replica.commit === replica.snapshot.index) return
  const size = replica.entries.reduce((sum, entry) => sum + getEntrySize(entry), 0)
  if (size < maxLogSize || (size < maxDelayedLogSize && isTransferring(replica, group.now))) return
  step(group, copy, { type: 'compact', index: replica.commit, data: JSON.stringify(copy.state) })
}

export function runFor (group: SlowGroup, ms: Millis): void {
  for (const until = group.now + ms; group.now < until;) advance(group)
}

/** Runs until a condition holds, and returns how long that took; fails after `limitMs`. */
export function runUntil (group: SlowGroup, isTrue: () => boolean, limitMs: Millis, what: string): Millis {
  const startedAt = group.now
  while (!isTrue()) {
    assert.ok(group.now - startedAt < limitMs, `${what} within ${limitMs} ms: ${describe(group)}`)
    advance(group)
  }
  return group.now - startedAt
}

export function describe (group: SlowGroup): string {
  return group.copies.map(({ id, replica, state }) => `${id} ${replica === undefined ? 'down' : `${replica.role} commit ${replica.commit} of ${lastIndex(replica)}, ${state.count} commands`}`).join('; ') +
    `; voters ${findLeader(group) === undefined ? 'unknown' : voters(findLeader(group)?.replica as Replica).join()}; ${group.failed} of ${group.sent} messages with data failed`
}

export function findLeader (group: SlowGroup): SlowCopy | undefined {
  return group.copies.find(({ replica }) => replica !== undefined && isEstablishedLeader(replica))
}

/** Proposes a command that writes a value of the given size, once there is a leader, and waits until it is committed there. */
export function write (group: SlowGroup, slot: number, size: number, limitMs: Millis): void {
  assert.ok(tryWrite(group, slot, size, limitMs) !== undefined, `the leader changed during a command: ${describe(group)}`)
}

/** Does the same; returns the written value, or undefined if the leader changed meanwhile, so that the outcome is unknown. */
export function tryWrite (group: SlowGroup, slot: number, size: number, limitMs: Millis): string | undefined {
  runUntil(group, () => findLeader(group) !== undefined, limitMs, 'a leader')
  const leader = findLeader(group) as SlowCopy
  const replica = leader.replica as Replica
  const index = lastIndex(replica) + 1
  const value = `${index}:`.padEnd(size, 'x')
  step(group, leader, { type: 'propose', commands: [{ type: 'put', slot, value }] })
  runUntil(group, () => replica.commit >= index || findLeader(group) !== leader, limitMs, `a command of ${size} characters`)
  return leader.replica === replica && replica.commit >= index ? value : undefined
}

/** Returns the values of the state at the leader. */
export function readState (group: SlowGroup): Map<number, string> {
  runUntil(group, () => findLeader(group) !== undefined, 10_000, 'a leader that can be read')
  return new Map(findLeader(group)?.state.slots)
}

/** Whether a copy is a voter that has applied all that its leader has committed. */
export function isWhole (group: SlowGroup, copy: SlowCopy): boolean {
  const leader = findLeader(group)?.replica
  return leader !== undefined && copy.replica !== undefined && voters(leader).includes(copy.id) && copy.replica.commit >= leader.commit
}
