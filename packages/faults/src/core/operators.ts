/** Operators of the model: they publish changes, race with equal expected versions, and resend unanswered changes. */
import type { ChangeId } from '@lynxcourse/base'
import { profileSchema } from '@lynxcourse/state'
import type { Change, ChangeAnswer } from '@lynxcourse/state'
import { enterStep, recordViolation } from './checks.js'
import { isLeader, propose } from './controlLog.js'
import { addHost, scheduleAtHost, send } from './network.js'
import type { Host } from './network.js'
import type { World } from '../types/world.js'

const resendIntervalMs = 250
const submitTimeoutMs = 6000

/** An operator, who sends from a host of its own. */
export interface Operator {
  readonly host: Host
  changes: number
}

export function addOperator (world: World, name: string): Operator {
  return { host: addHost(world.network, name, 'r1'), changes: 0 }
}

/** Returns a unique change id. */
export function createChangeId (operator: Operator): ChangeId {
  operator.changes += 1
  return `${operator.host.name}-change-${operator.changes}` as ChangeId
}

/**
 * Sends a change to all control VMs, of which the leader proposes it, and resends it under the same id until an answer arrives
 * or the timeout ends.
 */
export function submitChange (world: World, operator: Operator, change: Change, done: (answer: ChangeAnswer) => void = () => undefined): void {
  const deadline = world.network.now + submitTimeoutMs
  let isFinished = false
  const finish = (answer: ChangeAnswer): void => {
    checkSameAnswer(world, change, answer)
    if (isFinished) return
    isFinished = true
    done(answer)
  }
  const trySend = (): void => {
    if (isFinished || world.network.now > deadline) return
    for (const control of world.controls) {
      send(world.network, operator.host, control.host, () => {
        if (!isLeader(control)) return
        enterStep(world, 'publish', control.host)
        propose(world, control, change, answer => {
          if (answer.type === 'change') send(world.network, control.host, operator.host, () => finish(answer.change))
        })
      })
    }
    scheduleAtHost(world.network, operator.host, resendIntervalMs, trySend)
  }
  trySend()
}

/** Checks that a change that is resent under the same id gets the same answer. */
function checkSameAnswer (world: World, change: Change, answer: ChangeAnswer): void {
  const text = JSON.stringify(answer)
  const previousAnswer = world.checks.answers.get(change.changeId)
  if (previousAnswer === undefined) {
    world.checks.answers.set(change.changeId, answer)
    if (answer.ok) world.checks.accepted += 1
    checkOneWinner(world, change, answer)
  } else if (JSON.stringify(previousAnswer) !== text) {
    recordViolation(world, `change ${change.changeId} got two different answers`)
  }
}

/** Checks that at most one of two changes with equal expected versions is accepted. */
function checkOneWinner (world: World, change: Change, answer: ChangeAnswer): void {
  if (!answer.ok || change.type !== 'publishProfile') return
  for (const [id, other] of world.checks.answers) {
    const isRival = id !== change.changeId && other.ok && id.includes('-change-') && profileChanges.get(id) === change.expectedVersion
    if (isRival) recordViolation(world, `changes ${id} and ${change.changeId} both won version ${change.expectedVersion + 1}`)
  }
}

const profileChanges = new Map<string, number>()

/** Publishes the profile of the model with the given cap in every region. */
export function publishCap (world: World, operator: Operator, expectedVersion: number, cap: number, done?: (answer: ChangeAnswer) => void): void {
  const changeId = createChangeId(operator)
  const profile = profileSchema.parse({ name: 'p', places: ['r1', 'r2', 'r3'], regionCaps: { r1: cap, r2: cap, r3: cap }, maxDeadlineMs: 2000 })
  profileChanges.set(changeId, expectedVersion)
  submitChange(world, operator, { type: 'publishProfile', changeId, operator: operator.host.name, expectedVersion, profile }, done)
}

/** Clears the profile changes of an earlier run. */
export function resetProfileChanges (): void {
  profileChanges.clear()
}
