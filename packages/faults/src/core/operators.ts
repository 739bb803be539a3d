/** Operators of the model: they publish, race with equal versions, and resend what got no answer. */
import type { ChangeId } from '@lynxcourse/base'
import { profileSchema } from '@lynxcourse/state'
import type { Change, ChangeAnswer } from '@lynxcourse/state'
import { passStep, violate } from './checks.js'
import { leadsNow, propose } from './controlLog.js'
import { addHost, planAt, send } from './network.js'
import type { Host } from './network.js'
import type { World } from '../types/world.js'

const resendMs = 250
const giveUpMs = 6000

/** An operator with a host of its own. */
export interface Operator {
  readonly host: Host
  changes: number
}

export function addOperator (world: World, name: string): Operator {
  return { host: addHost(world.network, name, 'r1'), changes: 0 }
}

/** A change id that no other change has. */
export function nextChangeId (operator: Operator): ChangeId {
  operator.changes += 1
  return `${operator.host.name}-change-${operator.changes}` as ChangeId
}

/** Sends a change to whoever leads, again and again under one id, until an answer comes. */
export function submitChange (world: World, operator: Operator, change: Change, done: (answer: ChangeAnswer) => void = () => undefined): void {
  const until = world.network.now + giveUpMs
  let over = false
  const finish = (answer: ChangeAnswer): void => {
    checkSameAnswer(world, change, answer)
    if (over) return
    over = true
    done(answer)
  }
  const trySend = (): void => {
    if (over || world.network.now > until) return
    for (const control of world.controls) {
      send(world.network, operator.host, control.host, () => {
        if (!leadsNow(control)) return
        passStep(world, 'publish', control.host)
        propose(world, control, change, answer => {
          if (answer.type === 'change') send(world.network, control.host, operator.host, () => finish(answer.change))
        })
      })
    }
    planAt(world.network, operator.host, resendMs, trySend)
  }
  trySend()
}

/** A change sent again under its id gets its first answer. */
function checkSameAnswer (world: World, change: Change, answer: ChangeAnswer): void {
  const text = JSON.stringify(answer)
  const known = world.checks.answers.get(change.changeId)
  if (known === undefined) {
    world.checks.answers.set(change.changeId, answer)
    if (answer.ok) world.checks.accepted += 1
    checkOneWinner(world, change, answer)
  } else if (JSON.stringify(known) !== text) {
    violate(world, `change ${change.changeId} got two answers`)
  }
}

/** Of two changes with equal versions one wins. */
function checkOneWinner (world: World, change: Change, answer: ChangeAnswer): void {
  if (!answer.ok || change.type !== 'publishProfile') return
  for (const [id, other] of world.checks.answers) {
    const isRival = id !== change.changeId && other.ok && id.includes('-change-') && profileChanges.get(id) === change.expectedVersion
    if (isRival) violate(world, `changes ${id} and ${change.changeId} both won version ${change.expectedVersion + 1}`)
  }
}

const profileChanges = new Map<string, number>()

/** The profile that the model runs under, with some cap. */
export function publishCap (world: World, operator: Operator, expectedVersion: number, cap: number, done?: (answer: ChangeAnswer) => void): void {
  const changeId = nextChangeId(operator)
  const profile = profileSchema.parse({ name: 'p', places: ['r1', 'r2', 'r3'], regionCaps: { r1: cap, r2: cap, r3: cap }, maxDeadlineMs: 2000 })
  profileChanges.set(changeId, expectedVersion)
  submitChange(world, operator, { type: 'publishProfile', changeId, operator: operator.host.name, expectedVersion, profile }, done)
}

/** Forgets the rivals of an earlier run. */
export function resetOperators (): void {
  profileChanges.clear()
}
