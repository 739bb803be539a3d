/** An entry VM and the backend servers of the model, with the project's own once-only flow. */
import { afterAttempt, afterClaim, afterRecord, afterSlot, createOnceFlow, startOnce } from '@lynxcourse/routing'
import type { AttemptEvent, OnceEffect, OnceFlow } from '@lynxcourse/routing'
import { brandId, holderOf } from '@lynxcourse/base'
import type { DrainId, Incarnation, Millis, RequestId, ResourceId, VmId } from '@lynxcourse/base'
import { createHolderLimits, enterLimits, leaveLimits, mayEnter, noteWanted, reportUsage, takeGrants } from '@lynxcourse/limits'
import { createCurrency, isCurrent, noteConfirmed } from '@lynxcourse/membership'
import { activeDrains, createConfig, listCaps, takeDelta } from '@lynxcourse/state'
import type { Answer, ClaimCommand, SettleCommand } from '@lynxcourse/state'
import { checkCurrent, checkDispatch, checkLoad, checkRun, checkTold, checkVersion, passStep } from './checks.js'
import { answerReport, answerSync, propose, repeatAt } from './controlModel.js'
import type { Report } from './controlModel.js'
import { addHost, plan, planAt, send, sendOverStream } from './network.js'
import { times } from './times.js'
import type { EntryModel, ServerModel, World } from '../types/world.js'

const retryMs = 60

/** Adds an entry VM. */
export function addEntry (world: World, vm: string, region: string): EntryModel {
  const host = addHost(world.network, vm, region)
  const entry: EntryModel = {
    kind: 'entry',
    host,
    vm: vm as VmId,
    holder: holderOf(vm as VmId, '1' as Incarnation),
    config: createConfig(),
    currency: createCurrency(times.leaseMs),
    limits: createHolderLimits(),
    leader: undefined,
    asked: world.entries.length,
    nextToken: 1,
    inFlight: new Map(),
    syncing: false,
    reporting: false,
    silentReports: false
  }
  world.entries.push(entry)
  startEntry(world, entry)
  return entry
}

/** Starts the process; it remembers nothing. */
export function startEntry (world: World, entry: EntryModel): void {
  entry.holder = holderOf(entry.vm, String(entry.host.life) as Incarnation)
  entry.config = createConfig()
  entry.currency = createCurrency(times.leaseMs)
  entry.limits = createHolderLimits()
  entry.leader = undefined
  entry.inFlight = new Map()
  entry.syncing = false
  entry.reporting = false
  repeatAt(world, entry.host, times.syncMs, () => syncEntry(world, entry))
  repeatAt(world, entry.host, times.reportMs, () => reportEntry(world, entry))
}

/** Adds a backend server. */
export function addServer (world: World, name: string, region: string, domain: string, slots: number): ServerModel {
  const server: ServerModel = { host: addHost(world.network, name, region), domain, region, slots, busy: 0, silentFrom: new Set() }
  world.servers.push(server)
  return server
}

function syncEntry (world: World, entry: EntryModel): void {
  if (entry.syncing) {
    // The last request was not answered in time: another control VM is asked.
    entry.asked += 1
  }
  const parent = world.controls[entry.asked % world.controls.length]
  if (parent === undefined) return
  entry.syncing = true
  const askedAt = world.network.now
  const { version } = entry.config
  const { life } = entry.host
  send(world.network, entry.host, parent.host, () => {
    const reply = answerSync(world, parent, version)
    send(world.network, parent.host, entry.host, () => {
      if (entry.host.life !== life) return
      entry.syncing = false
      const before = entry.config.version
      const isWhole = takeDelta(entry.config, reply.delta)
      checkVersion(world, entry.vm, before, entry.config.version)
      entry.leader = reply.leader ?? entry.leader
      if (reply.ageMs === undefined) entry.asked += 1
      else if (isWhole) noteConfirmed(entry.currency, askedAt, reply.ageMs)
    })
  })
}

function reportEntry (world: World, entry: EntryModel): void {
  const leader = world.controls.find(control => control.vm === entry.leader)
  if (leader === undefined || entry.silentReports) return
  const askedAt = world.network.now
  const { life } = entry.host
  const report: Report = {
    holder: entry.holder,
    serial: entry.limits.serial,
    usages: reportUsage(entry.limits, listCaps(entry.config).keys()),
    progress: { vm: entry.vm, version: entry.config.version, remaining: remainingOf(world, entry) },
    load: [...entry.inFlight.values()].reduce((sum, count) => sum + count, 0)
  }
  send(world.network, entry.host, leader.host, () => {
    const reply = answerReport(world, leader, report)
    if (reply === undefined) return
    send(world.network, leader.host, entry.host, () => {
      if (entry.host.life === life) takeGrants(entry.limits, reply.serial, reply.grants, askedAt)
    })
  })
}

function remainingOf (world: World, entry: EntryModel): Map<DrainId, number> {
  return new Map(activeDrains(entry.config).map(drain => {
    const servers = world.servers.filter(server => isCovered(drain.target.kind, drain.target.name, server))
    return [drain.key, servers.reduce((sum, server) => sum + (entry.inFlight.get(server.host.name) ?? 0), 0)]
  }))
}

function isCovered (kind: string, name: string, server: ServerModel): boolean {
  if (kind === 'server') return server.host.name === name
  return kind === 'failureDomain' ? server.domain === name : server.region === name
}

/** Whether this VM may act on its configuration now. */
function mayAct (world: World, entry: EntryModel): boolean {
  const now = world.network.now
  const current = world.without.has('lease') ? entry.config.version > 0 : isCurrent(entry.currency, now)
  if (current) checkCurrent(world, entry.vm, entry.config.version, times.leaseMs)
  return current
}

/** Servers that this VM would give new work to. */
function openServers (world: World, entry: EntryModel): ServerModel[] {
  const drains = activeDrains(entry.config)
  return world.servers.filter(server => !drains.some(drain => isCovered(drain.target.kind, drain.target.name, server)))
}

/** A look-up: which servers' regions a caller would be sent to. */
export function lookUp (world: World, entry: EntryModel): void {
  passStep(world, 'lookup', entry.host)
  if (!entry.host.alive || entry.host.frozen || !mayAct(world, entry)) return
  world.checks.reads += 1
  if (openServers(world, entry).length > 0) world.checks.readsAnswered += 1
}

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
  carryOut(copy, startOnce(copy.flow, mayAct(world, entry)))
}

function carryOut (copy: Copy, effect: OnceEffect): void {
  const { world, entry } = copy
  if (!entry.host.alive || entry.host.life !== copy.life) return
  switch (effect.type) {
    case 'claim': claimStep(copy); break
    case 'getSlot': slotStep(copy); break
    case 'send': sendStep(copy); break
    case 'recordNotRun':
      if (world.without.has('recordNotRun')) carryOut(copy, afterRecord(true, effect.reason))
      else recordStep(copy, effect.reason)
      break
    case 'answer':
      if (effect.record !== undefined) settle(copy, effect.record, world.network.now + times.deadlineMs * 4, () => undefined)
      tell(copy, effect.told)
      break
  }
}

function tell (copy: Copy, told: 'done' | 'notRun' | 'unknown' | 'taken' | 'refused'): void {
  if (copy.ended) return
  copy.ended = true
  checkTold(copy.world, copy.id, told)
}

/** Sends a command to the leader until an answer comes or the time is over; `done` is called once. */
function submit (copy: Copy, command: ClaimCommand | SettleCommand, until: Millis, done: (answer: Answer | undefined) => void): void {
  const { world, entry } = copy
  let over = false
  const finish = (answer: Answer | undefined): void => {
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
    carryOut(copy, afterClaim(copy.flow, 'granted'))
    return
  }
  submit(copy, { type: 'claim', id, holder: entry.holder, token }, copy.deadline, answer => {
    const result = answer?.type === 'claim' ? answer.claim.result : 'noAnswer'
    if (result === 'granted') world.checks.granted += 1
    carryOut(copy, afterClaim(copy.flow, result))
  })
}

function settle (copy: Copy, outcome: 'done' | 'notRun' | 'unknown', until: Millis, done: (accepted: boolean) => void): void {
  const { entry, id, token } = copy
  submit(copy, { type: 'settle', id, holder: entry.holder, token, outcome, answer: undefined }, until, answer => {
    done(answer?.type === 'settle' && answer.settle.accepted)
  })
}

function recordStep (copy: Copy, reason: string): void {
  settle(copy, 'notRun', copy.world.network.now + times.deadlineMs, recorded => carryOut(copy, afterRecord(recorded, reason)))
}

function slotStep (copy: Copy): void {
  const { world, entry } = copy
  const server = mayAct(world, entry) ? chooseServer(world, entry, copy.tried) : undefined
  if (server !== undefined) {
    copy.server = server
    copy.tried.add(server.host.name)
    carryOut(copy, afterSlot(copy.flow, undefined))
  } else if (world.network.now >= copy.deadline) {
    carryOut(copy, afterSlot(copy.flow, 'no slot in time'))
  } else {
    planAt(world.network, entry.host, retryMs / 4, () => slotStep(copy))
  }
}

function chooseServer (world: World, entry: EntryModel, tried: ReadonlySet<string>): ServerModel | undefined {
  const caps = listCaps(entry.config)
  const open = openServers(world, entry).filter(server => !tried.has(server.host.name) && (entry.inFlight.get(server.host.name) ?? 0) < server.slots)
  const allowed = open.filter(server => {
    const resources = resourcesOf(server, caps)
    const may = mayEnter(entry.limits, resources, world.network.now)
    if (!may) for (const resource of resources) noteWanted(entry.limits, resource, 1)
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
    carryOut(copy, afterAttempt(copy.flow, event, copy.tried.size < 3 && world.network.now < copy.deadline))
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
  enterLimits(entry.limits, resources)
  for (const resource of resources) checkLoad(world, resource, 1, times.grantMs + times.deadlineMs + times.electionMs)
  entry.inFlight.set(name, (entry.inFlight.get(name) ?? 0) + 1)
  const release = releaseOnce(world, resources)
  let over = false
  const finish = (event: AttemptEvent): void => {
    if (over || entry.host.life !== life) return
    over = true
    release()
    entry.inFlight.set(name, Math.max(0, (entry.inFlight.get(name) ?? 0) - 1))
    leaveLimits(entry.limits, resources)
    onEnd(event)
  }
  // Whatever becomes of this VM, its work at the server is over by the deadline.
  const left = Math.max(1, deadline - network.now)
  planAt(network, entry.host, left, () => finish('lost'))
  plan(network, network.now + left, release)
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
