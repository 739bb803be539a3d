/** Requests of the model: the project's own once-only flow, reads, and the servers that they run at. */
import { continueAfterAttempt, continueAfterClaim, continueAfterRecord, continueAfterSlot, createOnceFlow, startOnceFlow } from '@lynxcourse/routing'
import type { AttemptEvent, OnceEffect, OnceFlow } from '@lynxcourse/routing'
import { brandId } from '@lynxcourse/base'
import type { Millis, RequestId, ResourceId } from '@lynxcourse/base'
import { scheduleAt } from '@lynxcourse/base/timeline'
import { acquireCapacity, releaseCapacity, hasCapacity, recordDemand } from '@lynxcourse/limits'
import { listCaps } from '@lynxcourse/state'
import type { CommandAnswer, ClaimCommand, SettleCommand } from '@lynxcourse/state'
import { checkDispatch, checkLoad, checkRun, checkTold, passStep } from './checks.js'
import { propose } from './controlLog.js'
import { planAt, send, sendOverStream } from './network.js'
import { times } from './times.js'
import type { EntryModel, ServerModel, World } from '../types/world.js'
import { mayAct, openServers } from './entryModel.js'

const retryMs = 60

interface Copy {
  readonly world: World
  readonly entry: EntryModel
  readonly flow: OnceFlow
  readonly id: RequestId
  readonly token: string
  readonly deadline: Millis
  readonly life: number
  readonly tried: Set<string>
  server: ServerModel | undefined
  ended: boolean
}

/** A caller hands a once-only request, or a copy of it, to an entry VM. */
export function handIn (world: World, entry: EntryModel, id: RequestId): void {
  if (!entry.host.alive || entry.host.frozen) return
  const copy: Copy = {
    world,
    entry,
    flow: createOnceFlow(world.charts.attempt),
    id,
    token: `t${entry.nextToken++}`,
    deadline: world.network.now + times.deadlineMs,
    life: entry.host.life,
    tried: new Set(),
    server: undefined,
    ended: false
  }
  const tracked = world.checks.requests.get(id)
  if (tracked !== undefined) tracked.copies += 1
  world.checks.open.push({ id, isAlive: () => entry.host.alive && entry.host.life === copy.life, isEnded: () => copy.ended })
  carryOut(copy, startOnceFlow(copy.flow, mayAct(world, entry)))
}

function carryOut (copy: Copy, effect: OnceEffect): void {
  const { world, entry } = copy
  if (!entry.host.alive || entry.host.life !== copy.life) return
  switch (effect.type) {
    case 'claim': claimStep(copy); break
    case 'getSlot': slotStep(copy); break
    case 'send': sendStep(copy); break
    case 'recordNotRun':
      if (world.without.has('recordNotRun')) carryOut(copy, continueAfterRecord(true, effect.reason))
      else recordStep(copy, effect.reason)
      break
    case 'answer':
      if (effect.record !== undefined) settle(copy, effect.record, world.network.now + times.deadlineMs * 4, () => undefined)
      tell(copy, effect.callerOutcome)
      break
  }
}

function tell (copy: Copy, told: 'done' | 'notRun' | 'unknown' | 'taken' | 'refused'): void {
  if (copy.ended) return
  copy.ended = true
  checkTold(copy.world, copy.id, told)
}

/** Sends a command to the leader until an answer comes or the time is over; `done` is called once. */
function submit (copy: Copy, command: ClaimCommand | SettleCommand, until: Millis, done: (answer: CommandAnswer | undefined) => void): void {
  const { world, entry } = copy
  let over = false
  const finish = (answer: CommandAnswer | undefined): void => {
    if (over || entry.host.life !== copy.life) return
    over = true
    done(answer)
  }
  const trySend = (): void => {
    if (over || entry.host.life !== copy.life) return
    if (world.network.now >= until) {
      finish(undefined)
      return
    }
    const leader = world.controls.find(control => control.vm === entry.leader)
    if (leader !== undefined) {
      send(world.network, entry.host, leader.host, () => {
        propose(world, leader, command, answer => send(world.network, leader.host, entry.host, () => finish(answer)))
      })
    }
    planAt(world.network, entry.host, retryMs, trySend)
  }
  trySend()
}

function claimStep (copy: Copy): void {
  const { world, entry, id, token } = copy
  passStep(world, 'claim', entry.host)
  if (world.without.has('claim')) {
    carryOut(copy, continueAfterClaim(copy.flow, 'granted'))
    return
  }
  submit(copy, { type: 'claim', id, holder: entry.holder, token }, copy.deadline, answer => {
    const result = answer?.type === 'claim' ? answer.claim.result : 'noAnswer'
    if (result === 'granted') world.checks.granted += 1
    carryOut(copy, continueAfterClaim(copy.flow, result))
  })
}

function settle (copy: Copy, outcome: 'done' | 'notRun' | 'unknown', until: Millis, done: (accepted: boolean) => void): void {
  const { entry, id, token } = copy
  submit(copy, { type: 'settle', id, holder: entry.holder, token, outcome, answer: undefined }, until, answer => {
    done(answer?.type === 'settle' && answer.settle.accepted)
  })
}

function recordStep (copy: Copy, reason: string): void {
  settle(copy, 'notRun', copy.world.network.now + times.deadlineMs, recorded => carryOut(copy, continueAfterRecord(recorded, reason)))
}

function slotStep (copy: Copy): void {
  const { world, entry } = copy
  const server = mayAct(world, entry) ? chooseServer(world, entry, copy.tried) : undefined
  if (server !== undefined) {
    copy.server = server
    copy.tried.add(server.host.name)
    carryOut(copy, continueAfterSlot(copy.flow, undefined))
  } else if (world.network.now >= copy.deadline) {
    carryOut(copy, continueAfterSlot(copy.flow, 'no slot in time'))
  } else {
    planAt(world.network, entry.host, retryMs / 4, () => slotStep(copy))
  }
}

function chooseServer (world: World, entry: EntryModel, tried: ReadonlySet<string>): ServerModel | undefined {
  const caps = listCaps(entry.config)
  const open = openServers(world, entry).filter(server => !tried.has(server.host.name) && (entry.inFlight.get(server.host.name) ?? 0) < server.slots)
  const allowed = open.filter(server => {
    const resources = resourcesOf(server, caps)
    const may = hasCapacity(entry.limits, resources, world.network.now)
    if (!may) for (const resource of resources) recordDemand(entry.limits, resource, 1)
    return may
  })
  return allowed[Math.floor(world.network.random() * allowed.length)]
}

function resourcesOf (server: ServerModel, caps: ReadonlyMap<ResourceId, number>): ResourceId[] {
  return [brandId<ResourceId>(`region:p:${server.region}`)].filter(resource => caps.has(resource))
}

function sendStep (copy: Copy): void {
  const { world, entry } = copy
  const server = copy.server as ServerModel
  passStep(world, 'dispatch', entry.host)
  if (!entry.host.alive || entry.host.life !== copy.life) return
  const finish = (event: AttemptEvent): void => {
    if (event === 'answered') passStep(world, 'answer', entry.host)
    carryOut(copy, continueAfterAttempt(copy.flow, event, copy.tried.size < 3 && world.network.now < copy.deadline))
  }
  dispatch(world, entry, server, copy.deadline, finish, () => checkRun(world, copy.id))
}

/** A read: it needs no claim, but the same lease, limits and drains hold for it. */
export function readOnce (world: World, entry: EntryModel): void {
  if (!entry.host.alive || entry.host.frozen || !mayAct(world, entry)) return
  const server = chooseServer(world, entry, new Set())
  if (server === undefined) return
  dispatch(world, entry, server, world.network.now + times.deadlineMs, () => undefined, () => undefined)
}

/**
 * Sends one request to a server and counts it until it ends.
 *
 * @param onRun called when the server starts it
 */
function dispatch (world: World, entry: EntryModel, server: ServerModel, deadline: Millis, onEnd: (event: AttemptEvent) => void, onRun: () => void): void {
  const { network } = world
  const { name } = server.host
  const { life } = entry.host
  checkDispatch(world, name, times.leaseMs)
  const resources = resourcesOf(server, listCaps(entry.config))
  acquireCapacity(entry.limits, resources)
  for (const resource of resources) checkLoad(world, resource, 1, times.grantMs + times.deadlineMs + times.electionMs)
  entry.inFlight.set(name, (entry.inFlight.get(name) ?? 0) + 1)
  const release = releaseOnce(world, resources)
  let over = false
  const finish = (event: AttemptEvent): void => {
    if (over || entry.host.life !== life) return
    over = true
    release()
    entry.inFlight.set(name, Math.max(0, (entry.inFlight.get(name) ?? 0) - 1))
    releaseCapacity(entry.limits, resources)
    onEnd(event)
  }
  // Whatever becomes of this VM, its work at the server is over by the deadline.
  const left = Math.max(1, deadline - network.now)
  planAt(network, entry.host, left, () => finish('lost'))
  scheduleAt(network, network.now + left, release)
  if (!server.host.alive) planAt(network, entry.host, 2, () => finish('notSent'))
  else if (!server.silentFrom.has(entry.vm)) sendOverStream(network, entry.host, server.host, () => serve(world, entry, server, deadline, finish, onRun))
}

/** Takes an attempt out of the count over all VMs: at its end, or at its deadline if its VM died. */
function releaseOnce (world: World, resources: readonly ResourceId[]): () => void {
  let over = false
  return () => {
    if (over) return
    over = true
    for (const resource of resources) checkLoad(world, resource, -1, 0)
  }
}

function serve (world: World, entry: EntryModel, server: ServerModel, deadline: Millis, finish: (event: AttemptEvent) => void, onRun: () => void): void {
  const { network } = world
  // A deadline that has passed is honoured by the server, as the platform promises.
  if (network.now >= deadline) return
  if (server.busy >= server.slots) {
    sendOverStream(network, server.host, entry.host, () => finish('shed'))
    return
  }
  server.busy += 1
  onRun()
  const { life } = server.host
  planAt(network, server.host, times.serviceMs * (0.5 + network.random()), () => {
    if (server.host.life !== life) return
    server.busy -= 1
    sendOverStream(network, server.host, entry.host, () => finish('answered'))
  })
}
