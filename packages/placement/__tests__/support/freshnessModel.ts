/**
 * A model of entry VMs that follow the state of control VMs, with their event loops, links and clocks disturbed.
 *
 * Messages take time, are read late by VMs whose event loop is blocked, and are lost by VMs that are cut off. The decisions are those
 * of `stateFreshness`; the model only carries out what they ask for.
 */
import { createStateFreshness, getCopyAge, hasState, mayDecide, recordConfirmation, recordContacts } from '@lynxcourse/placement'
import type { ClockReading, ControlContact, StateFreshness } from '@lynxcourse/placement'

/** Kinds of disturbances: of an entry VM's event loop, link, contact, process or clock, of a control VM's event loop, or of the group of control VMs. */
export type FreshnessDisturbance = 'loopBlocked' | 'linkSlow' | 'cutOff' | 'restarted' | 'suspended' | 'controlBlocked' | 'groupCut'

export interface PlannedDisturbance {
  readonly kind: FreshnessDisturbance
  readonly vm: number
  readonly at: number
  readonly forMs: number
}

export interface PlannedChange {
  readonly confirmedAt: number
  /** How long its transfer to one VM takes. */
  readonly transferMs: number
}

export interface FreshnessSchedule {
  readonly changes: readonly PlannedChange[]
  readonly disturbances: readonly PlannedDisturbance[]
}

/** Parts of the mend that a test leaves out. */
export interface FreshnessLeftOut {
  /** Requests are routed by whatever copy there is. */
  readonly bound?: boolean
  /** Answers count from when they are read. */
  readonly question?: boolean
  /** Control VMs that do not answer count as unreachable. */
  readonly reachability?: boolean
  /** Control VMs that do not have the current state say so at once. */
  readonly hold?: boolean
  /** A VM counts as cut off until it has asked again. */
  readonly expiry?: boolean
}

/** A time at which an entry VM would have decided on a request, or would not. */
export interface Decision {
  readonly vm: number
  readonly at: number
  readonly version: number
  readonly mayDecide: boolean
  /** Whether the VM was in contact with the group for the whole contact time. */
  readonly isInTouch: boolean
  readonly isCutOff: boolean
}

export const times = { applyMs: 2500, maxStateAgeMs: 2000, contactMs: 4000, watchMs: 1000, timeoutMs: 800, questionTimeoutMs: 1000, cutOffPauseMs: 500, confirmHoldMs: 600, staleMs: 1600, confirmAgeMs: 1500 }
const stepMs = 25
const linkMs = 25
const slowLinkMs = 450
const controlCount = 3
const groupAgeMs = 350
/** Time until a control VM that was blocked has read what its leader sent meanwhile. */
const catchUpMs = 300

interface Question {
  readonly control: number
  readonly isWatch: boolean
  readonly version: number
  readonly askedAt: ClockReading
  readonly askedTrueAt: number
  arrivesAt: number
  receivedAt: number | undefined
  reply: { readonly version: number, readonly ageMs: number, readonly heldMs: number, readonly arrivesAt: number } | undefined
  isLost: boolean
}

interface Entry {
  readonly vm: number
  freshness: StateFreshness
  version: number
  suspendedMs: number
  watch: Question | undefined
  nextControl: number
  /** Whether the watch fetches a change that the VM knows to lack. */
  isFetching: boolean
  confirmation: { readonly askedAt: ClockReading, readonly questions: Question[], readonly contacts: ControlContact[] } | undefined
  /** Time before which the control VMs are not asked again. */
  askAgainAt: number
}

interface Model {
  readonly schedule: FreshnessSchedule
  readonly leftOut: FreshnessLeftOut
  readonly entries: Entry[]
  now: number
}

/** Plays a schedule; returns what each VM would have decided at each step. */
export function playFreshness (schedule: FreshnessSchedule, entryCount: number, endsAt: number, leftOut: FreshnessLeftOut = {}): Decision[] {
  const entries = Array.from({ length: entryCount }, (_, vm): Entry => createEntry(vm))
  const model: Model = { schedule, leftOut, entries, now: 0 }
  const decisions: Decision[] = []
  for (; model.now < endsAt; model.now += stepMs) {
    for (const entry of entries) {
      answerQuestions(model, entry)
      if (isDisturbed(model, 'restarted', entry.vm)) Object.assign(entry, createEntry(entry.vm))
      else if (isDisturbed(model, 'suspended', entry.vm)) entry.suspendedMs += stepMs
      else if (!isDisturbed(model, 'loopBlocked', entry.vm)) decisions.push(runIteration(model, entry))
    }
  }
  return decisions
}

function createEntry (vm: number): Entry {
  return { vm, freshness: createStateFreshness(), version: 0, suspendedMs: 0, watch: undefined, nextControl: vm, isFetching: false, confirmation: undefined, askAgainAt: 0 }
}

function isDisturbed ({ schedule, now }: Model, kind: FreshnessDisturbance, vm: number, sinceMs = 0): boolean {
  return schedule.disturbances.some(other => other.kind === kind && other.vm === vm && now >= other.at && now < other.at + other.forMs + sinceMs)
}

function readClocks ({ now }: Model, { suspendedMs }: Entry): ClockReading {
  return { steady: now - suspendedMs, wall: now }
}

/** Lets control VMs receive and answer the questions of one entry VM. */
function answerQuestions (model: Model, entry: Entry): void {
  const { now } = model
  for (const question of [...entry.watch === undefined ? [] : [entry.watch], ...entry.confirmation?.questions ?? []]) {
    if (isDisturbed(model, 'cutOff', entry.vm)) question.isLost = true
    if (question.isLost || question.reply !== undefined || question.arrivesAt > now || isDisturbed(model, 'controlBlocked', question.control)) continue
    question.receivedAt ??= now
    const { version, ageMs } = getControlState(model, question.control)
    const heldMs = now - question.receivedAt
    const isHeld = !question.isWatch && ageMs > times.staleMs && heldMs < times.confirmHoldMs
    if (isHeld && model.leftOut.hold !== true) continue
    if (question.isWatch && version <= question.version && heldMs < times.watchMs) continue
    const transferMs = model.schedule.changes.slice(question.version, version).reduce((sum, change) => sum + change.transferMs, 0)
    question.reply = { version, ageMs, heldMs, arrivesAt: now + getLinkDelay(model, entry) + (question.isWatch ? transferMs : 0) }
  }
}

/** Returns the newest version that a control VM has, and the age as of which it has all changes. */
function getControlState (model: Model, control: number): { readonly version: number, readonly ageMs: number } {
  const { schedule: { changes, disturbances }, now } = model
  const isOld = ({ kind, vm, at, forMs }: PlannedDisturbance): boolean =>
    (kind === 'groupCut' && now >= at && now < at + forMs) || (kind === 'controlBlocked' && vm === control && now >= at && now < at + forMs + catchUpMs)
  const completeAt = Math.min(now - groupAgeMs, ...disturbances.filter(isOld).map(({ at }) => at))
  return { version: changes.filter(({ confirmedAt }) => confirmedAt <= completeAt).length, ageMs: now - completeAt }
}

function getLinkDelay (model: Model, { vm }: Entry): number {
  return isDisturbed(model, 'linkSlow', vm) ? slowLinkMs : linkMs
}

function ask (model: Model, entry: Entry, control: number, isWatch: boolean): Question {
  const isLost = isDisturbed(model, 'cutOff', entry.vm)
  return { control, isWatch, version: entry.version, askedAt: readClocks(model, entry), askedTrueAt: model.now, arrivesAt: model.now + getLinkDelay(model, entry), receivedAt: undefined, reply: undefined, isLost }
}

/** Reads what has arrived, asks what is due, and decides on a request. */
function runIteration (model: Model, entry: Entry): Decision {
  readWatch(model, entry)
  readConfirmation(model, entry)
  entry.watch ??= ask(model, entry, entry.nextControl % controlCount, true)
  const age = getCopyAge(entry.freshness, readClocks(model, entry))
  if (entry.confirmation === undefined && hasState(entry.freshness) && age > times.confirmAgeMs && model.now >= entry.askAgainAt) {
    entry.confirmation = { askedAt: readClocks(model, entry), questions: Array.from({ length: controlCount }, (_, control) => ask(model, entry, control, false)), contacts: [] }
  }
  return decide(model, entry)
}

function decide (model: Model, entry: Entry): Decision {
  const { vm, freshness, version } = entry
  const now = readClocks(model, entry)
  const isInTouch = !(['cutOff', 'suspended', 'restarted'] as const).some(kind => isDisturbed(model, kind, vm, times.contactMs)) &&
    !model.schedule.disturbances.some(({ kind, at, forMs }) => kind === 'groupCut' && model.now >= at && model.now < at + forMs + times.contactMs)
  return {
    vm,
    at: model.now,
    version,
    mayDecide: mayUseCopy(model, freshness, now),
    isInTouch,
    isCutOff: isDisturbed(model, 'cutOff', vm)
  }
}

function mayUseCopy ({ leftOut }: Model, freshness: StateFreshness, now: ClockReading): boolean {
  if (leftOut.bound === true) return hasState(freshness)
  if (leftOut.expiry === true && freshness.cutOffAt !== undefined) return hasState(freshness)
  return mayDecide(freshness, times.maxStateAgeMs, now)
}

function readWatch (model: Model, entry: Entry): void {
  const { watch } = entry
  if (watch === undefined) return
  if (hasArrived(model, watch)) {
    entry.watch = undefined
    entry.isFetching = false
    applyReply(model, entry, watch)
  } else if (model.now - watch.askedTrueAt > times.watchMs + times.timeoutMs && !isTransferring(model, watch)) {
    entry.watch = undefined
    entry.isFetching = false
    entry.nextControl += 1
  }
}

function hasArrived ({ now }: Model, { reply, isLost }: Question): boolean {
  return reply !== undefined && !isLost && reply.arrivesAt <= now
}

/** The timeout of a reply starts again with each part of it. */
function isTransferring ({ now }: Model, { reply, isLost }: Question): boolean {
  return reply !== undefined && !isLost && now < reply.arrivesAt
}

/** Applies a reply; returns whether it confirms the copy. */
function applyReply (model: Model, entry: Entry, { askedAt, isWatch, reply }: Question): boolean {
  if (reply === undefined || reply.ageMs > times.staleMs) return false
  if (isWatch) entry.version = Math.max(entry.version, reply.version)
  if (entry.version < reply.version) {
    // The copy lacks a change: the state is fetched at once.
    if (!entry.isFetching) entry.watch = ask(model, entry, entry.nextControl % controlCount, true)
    entry.isFetching = true
    return false
  }
  const confirmation = model.leftOut.question === true
    ? { askedAt: readClocks(model, entry), heldMs: 0, ageMs: reply.ageMs }
    : { askedAt, heldMs: reply.heldMs, ageMs: reply.ageMs }
  recordConfirmation(entry.freshness, confirmation)
  return true
}

function readConfirmation (model: Model, entry: Entry): void {
  const { confirmation } = entry
  if (confirmation === undefined) return
  for (const question of [...confirmation.questions]) {
    const contact = getContact(model, entry, question)
    if (contact === undefined) continue
    confirmation.questions.splice(confirmation.questions.indexOf(question), 1)
    confirmation.contacts.push(contact)
  }
  const isConfirmed = confirmation.contacts.includes('confirmed')
  if (!isConfirmed && confirmation.questions.length > 0) return
  if (!isConfirmed) recordContacts(entry.freshness, confirmation.contacts, confirmation.askedAt)
  if (entry.freshness.cutOffAt !== undefined) entry.askAgainAt = model.now + times.cutOffPauseMs
  entry.confirmation = undefined
}

/** Returns what became of a question; undefined while it is open. */
function getContact (model: Model, entry: Entry, question: Question): ControlContact | undefined {
  if (hasArrived(model, question)) {
    const isBehind = (question.reply?.ageMs ?? Infinity) > times.staleMs
    if (isBehind) return 'behind'
    return applyReply(model, entry, question) ? 'confirmed' : 'unanswered'
  }
  if (model.now - question.askedTrueAt <= times.questionTimeoutMs) return undefined
  const isReachable = !isDisturbed(model, 'cutOff', entry.vm) && model.leftOut.reachability !== true
  return isReachable ? 'unanswered' : 'unreachable'
}
