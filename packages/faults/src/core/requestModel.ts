/** Requests of the model: the product's once-only flow, reads, and their attempts at servers. */
import { continueAfterAttempt, continueAfterClaim, continueAfterRecord, continueAfterSlot, createOnceFlow, startOnceFlow } from '@lynxcourse/routing'
import type { AttemptEvent, OnceEffect, OnceFlow } from '@lynxcourse/routing'
import { brandId } from '@lynxcourse/base'
import type { Millis, RequestId, ResourceId } from '@lynxcourse/base'
import { scheduleAt } from '@lynxcourse/base/timeline'
import { acquireCapacity, releaseCapacity, hasCapacity, recordDemand } from '@lynxcourse/limits'
import { listCaps } from '@lynxcourse/state'
import type { CommandAnswer, ClaimCommand, SettleCommand } from '@lynxcourse/state'
import { checkDispatch, checkLoad, checkRun, checkOutcome, enterStep } from './checks.js'
import { propose } from './controlLog.js'
import { scheduleAtHost, send, sendOverStream } from './network.js'
import { times } from './times.js'
import type { EntryModel, ServerModel, World } from '../types/world.js'
import { mayAct, listOpenServers } from './entryModel.js'

const retryMs = 60

interface RequestCopy {
  readonly world: World
  readonly entry: EntryModel
  readonly flow: OnceFlow
  readonly id: RequestId
  readonly token: string
  readonly deadline: Millis
  readonly life: number
  readonly triedServers: Set<string>
  server: ServerModel | undefined
  isEnded: boolean
}

/** Submits a once-only request, or a copy of it, to an entry VM. */
export function submitRequest (world: World, entry: EntryModel, id: RequestId): void {
  if (!entry.host.isAlive || entry.host.isFrozen) return
  const copy: RequestCopy = {
    world,
    entry,
    flow: createOnceFlow(world.charts.attempt),
    id,
    token: `t${entry.nextToken++}`,
    deadline: world.network.now + times.deadlineMs,
    life: entry.host.life,
    triedServers: new Set(),
    server: undefined,
    isEnded: false
  }
  const tracked = world.checks.requests.get(id)
  if (tracked !== undefined) tracked.copies += 1
  world.checks.open.push({ id, isAlive: () => entry.host.isAlive && entry.host.life === copy.life, isEnded: () => copy.isEnded })
  executeEffect(copy, startOnceFlow(copy.flow, mayAct(world, entry)))
}

function executeEffect (copy: RequestCopy, effect: OnceEffect): void {
  const { world, entry } = copy
  if (!entry.host.isAlive || entry.host.life !== copy.life) return
  switch (effect.type) {
    case 'claim': claimRequest(copy); break
    case 'getSlot': reserveSlot(copy); break
    case 'send': sendAttempt(copy); break
    case 'recordNotRun':
      if (world.disabledGuards.has('recordNotRun')) executeEffect(copy, continueAfterRecord(true, effect.reason))
      else recordNotRun(copy, effect.reason)
      break
    case 'answer':
      if (effect.record !== undefined) resolveClaim(copy, effect.record, world.network.now + times.deadlineMs * 4, () => undefined)
      answerCaller(copy, effect.callerOutcome)
      break
  }
}

function answerCaller (copy: RequestCopy, outcome: 'done' | 'notRun' | 'unknown' | 'taken' | 'refused'): void {
  if (copy.isEnded) return
  copy.isEnded = true
  checkOutcome(copy.world, copy.id, outcome)
}

/** Sends a command to the leader until an answer arrives or `expiresAt` is reached; `done` is called at most once. */
function submitCommand (copy: RequestCopy, command: ClaimCommand | SettleCommand, expiresAt: Millis, done: (answer: CommandAnswer | undefined) => void): void {
  const { world, entry } = copy
  let isFinished = false
  const finish = (answer: CommandAnswer | undefined): void => {
    if (isFinished || entry.host.life !== copy.life) return
    isFinished = true
    done(answer)
  }
  const trySend = (): void => {
    if (isFinished || entry.host.life !== copy.life) return
    if (world.network.now >= expiresAt) {
      finish(undefined)
      return
    }
    const leader = world.controls.find(control => control.vm === entry.leader)
    if (leader !== undefined) {
      send(world.network, entry.host, leader.host, () => {
        propose(world, leader, command, answer => send(world.network, leader.host, entry.host, () => finish(answer)))
      })
    }
    scheduleAtHost(world.network, entry.host, retryMs, trySend)
  }
  trySend()
}

function claimRequest (copy: RequestCopy): void {
  const { world, entry, id, token } = copy
  enterStep(world, 'claim', entry.host)
  if (world.disabledGuards.has('claim')) {
    executeEffect(copy, continueAfterClaim(copy.flow, 'granted'))
    return
  }
  submitCommand(copy, { type: 'claim', id, holder: entry.holder, token }, copy.deadline, answer => {
    const result = answer?.type === 'claim' ? answer.claim.result : 'noAnswer'
    if (result === 'granted') world.checks.granted += 1
    executeEffect(copy, continueAfterClaim(copy.flow, result))
  })
}

function resolveClaim (copy: RequestCopy, outcome: 'done' | 'notRun' | 'unknown', expiresAt: Millis, done: (accepted: boolean) => void): void {
  const { entry, id, token } = copy
  submitCommand(copy, { type: 'settle', id, holder: entry.holder, token, outcome, answer: undefined }, expiresAt, answer => {
    done(answer?.type === 'settle' && answer.settle.accepted)
  })
}

function recordNotRun (copy: RequestCopy, reason: string): void {
  resolveClaim(copy, 'notRun', copy.world.network.now + times.deadlineMs, recorded => executeEffect(copy, continueAfterRecord(recorded, reason)))
}

function reserveSlot (copy: RequestCopy): void {
  const { world, entry } = copy
  const server = mayAct(world, entry) ? chooseServer(world, entry, copy.triedServers) : undefined
  if (server !== undefined) {
    copy.server = server
    copy.triedServers.add(server.host.name)
    executeEffect(copy, continueAfterSlot(copy.flow, undefined))
  } else if (world.network.now >= copy.deadline) {
    executeEffect(copy, continueAfterSlot(copy.flow, 'no slot in time'))
  } else {
    scheduleAtHost(world.network, entry.host, retryMs / 4, () => reserveSlot(copy))
  }
}

function chooseServer (world: World, entry: EntryModel, triedServers: ReadonlySet<string>): ServerModel | undefined {
  const caps = listCaps(entry.config)
  const open = listOpenServers(world, entry).filter(server => !triedServers.has(server.host.name) && (entry.inFlight.get(server.host.name) ?? 0) < server.slots)
  const allowed = open.filter(server => {
    const resources = listResources(server, caps)
    const isAllowed = hasCapacity(entry.limits, resources, world.network.now)
    if (!isAllowed) for (const resource of resources) recordDemand(entry.limits, resource, 1)
    return isAllowed
  })
  return allowed[Math.floor(world.network.random() * allowed.length)]
}

function listResources (server: ServerModel, caps: ReadonlyMap<ResourceId, number>): ResourceId[] {
  return [brandId<ResourceId>(`region:p:${server.region}`)].filter(resource => caps.has(resource))
}

function sendAttempt (copy: RequestCopy): void {
  const { world, entry } = copy
  const server = copy.server as ServerModel
  enterStep(world, 'dispatch', entry.host)
  if (!entry.host.isAlive || entry.host.life !== copy.life) return
  const finish = (event: AttemptEvent): void => {
    if (event === 'answered') enterStep(world, 'answer', entry.host)
    executeEffect(copy, continueAfterAttempt(copy.flow, event, copy.triedServers.size < 3 && world.network.now < copy.deadline))
  }
  dispatch(world, entry, server, copy.deadline, finish, () => checkRun(world, copy.id))
}

/** Sends a read. A read needs no claim, but obeys the same lease, limits and drains as a once-only request. */
export function sendRead (world: World, entry: EntryModel): void {
  if (!entry.host.isAlive || entry.host.isFrozen || !mayAct(world, entry)) return
  const server = chooseServer(world, entry, new Set())
  if (server === undefined) return
  dispatch(world, entry, server, world.network.now + times.deadlineMs, () => undefined, () => undefined)
}

/**
 * Sends one attempt to a server and counts it as in flight until it ends.
 *
 * @param onRun called when the server starts the request
 */
function dispatch (world: World, entry: EntryModel, server: ServerModel, deadline: Millis, onEnd: (event: AttemptEvent) => void, onRun: () => void): void {
  const { network } = world
  const { name } = server.host
  const { life } = entry.host
  checkDispatch(world, name, times.leaseMs)
  const resources = listResources(server, listCaps(entry.config))
  acquireCapacity(entry.limits, resources)
  for (const resource of resources) checkLoad(world, resource, 1, times.grantMs + times.deadlineMs + times.electionMs)
  entry.inFlight.set(name, (entry.inFlight.get(name) ?? 0) + 1)
  const release = createRelease(world, resources)
  let isFinished = false
  const finish = (event: AttemptEvent): void => {
    if (isFinished || entry.host.life !== life) return
    isFinished = true
    release()
    entry.inFlight.set(name, Math.max(0, (entry.inFlight.get(name) ?? 0) - 1))
    releaseCapacity(entry.limits, resources)
    onEnd(event)
  }
  // The server ends the work by the deadline even if this VM dies.
  const left = Math.max(1, deadline - network.now)
  scheduleAtHost(network, entry.host, left, () => finish('lost'))
  scheduleAt(network, network.now + left, release)
  if (!server.host.isAlive) scheduleAtHost(network, entry.host, 2, () => finish('notSent'))
  else if (!server.silentEntryVms.has(entry.vm)) sendOverStream(network, entry.host, server.host, () => serveAttempt(world, entry, server, deadline, finish, onRun))
}

/** Returns a function that removes an attempt once from the load over all VMs: at its end, or at its deadline if its VM died. */
function createRelease (world: World, resources: readonly ResourceId[]): () => void {
  let isFinished = false
  return () => {
    if (isFinished) return
    isFinished = true
    for (const resource of resources) checkLoad(world, resource, -1, 0)
  }
}

function serveAttempt (world: World, entry: EntryModel, server: ServerModel, deadline: Millis, finish: (event: AttemptEvent) => void, onRun: () => void): void {
  const { network } = world
  // The server drops a request whose deadline has passed, as the platform guarantees.
  if (network.now >= deadline) return
  if (server.busy >= server.slots) {
    sendOverStream(network, server.host, entry.host, () => finish('shed'))
    return
  }
  server.busy += 1
  onRun()
  const { life } = server.host
  scheduleAtHost(network, server.host, times.serviceMs * (0.5 + network.random()), () => {
    if (server.host.life !== life) return
    server.busy -= 1
    sendOverStream(network, server.host, entry.host, () => finish('answered'))
  })
}
