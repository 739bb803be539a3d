/** An entry VM of the model: its configuration lease, its reports and its lookups. */
import { createHolderId } from '@lynxcourse/base'
import type { DrainId, Incarnation, VmId } from '@lynxcourse/base'
import { createHolderLimits, collectUsages, applyGrants } from '@lynxcourse/limits'
import { createConfigLease, isLeaseValid, renewConfigLease } from '@lynxcourse/membership'
import { listActiveDrains, createConfig, listCaps, applyDelta } from '@lynxcourse/state'
import { checkConfigCurrent, checkVersion, enterStep } from './checks.js'
import { answerReport, answerSync } from './controlTasks.js'
import type { Report } from './controlTasks.js'
import { scheduleRepeatedly } from './controlModel.js'
import { addHost, send } from './network.js'
import { times } from './times.js'
import type { EntryModel, ServerModel, World } from '../types/world.js'

/** Adds an entry VM. */
export function addEntry (world: World, vm: string, region: string): EntryModel {
  const host = addHost(world.network, vm, region)
  const entry: EntryModel = {
    kind: 'entry',
    host,
    vm: vm as VmId,
    holder: createHolderId(vm as VmId, '1' as Incarnation),
    config: createConfig(),
    configLease: createConfigLease(times.leaseMs),
    limits: createHolderLimits(),
    leader: undefined,
    controlIndex: world.entries.length,
    nextToken: 1,
    inFlight: new Map(),
    isSyncing: false,
    isReporting: false,
    areReportsStopped: false
  }
  world.entries.push(entry)
  startEntry(world, entry)
  return entry
}

/** Starts the process; all its state is reset. */
export function startEntry (world: World, entry: EntryModel): void {
  entry.holder = createHolderId(entry.vm, String(entry.host.life) as Incarnation)
  entry.config = createConfig()
  entry.configLease = createConfigLease(times.leaseMs)
  entry.limits = createHolderLimits()
  entry.leader = undefined
  entry.inFlight = new Map()
  entry.isSyncing = false
  entry.isReporting = false
  scheduleRepeatedly(world, entry.host, times.syncMs, () => syncEntry(world, entry))
  scheduleRepeatedly(world, entry.host, times.reportMs, () => sendReport(world, entry))
}

/** Adds a backend server. */
export function addServer (world: World, name: string, region: string, domain: string, slots: number): ServerModel {
  const server: ServerModel = { host: addHost(world.network, name, region), domain, region, slots, busy: 0, silentEntryVms: new Set() }
  world.servers.push(server)
  return server
}

function syncEntry (world: World, entry: EntryModel): void {
  if (entry.isSyncing) {
    // The previous sync got no answer in time, so the next one goes to another control VM.
    entry.controlIndex += 1
  }
  const control = world.controls[entry.controlIndex % world.controls.length]
  if (control === undefined) return
  entry.isSyncing = true
  const requestedAt = world.network.now
  const { version } = entry.config
  const { life } = entry.host
  send(world.network, entry.host, control.host, () => {
    const reply = answerSync(world, control, version)
    send(world.network, control.host, entry.host, () => {
      if (entry.host.life !== life) return
      entry.isSyncing = false
      const previousVersion = entry.config.version
      const isComplete = applyDelta(entry.config, reply.delta)
      checkVersion(world, entry.vm, previousVersion, entry.config.version)
      entry.leader = reply.leader ?? entry.leader
      if (reply.ageMs === undefined) entry.controlIndex += 1
      else if (isComplete) renewConfigLease(entry.configLease, requestedAt, reply.ageMs)
    })
  })
}

function sendReport (world: World, entry: EntryModel): void {
  const leader = world.controls.find(control => control.vm === entry.leader)
  if (leader === undefined || entry.areReportsStopped) return
  const requestedAt = world.network.now
  const { life } = entry.host
  const report: Report = {
    holder: entry.holder,
    serial: entry.limits.serial,
    usages: collectUsages(entry.limits, listCaps(entry.config).keys()),
    progress: { vm: entry.vm, version: entry.config.version, remaining: countRemaining(world, entry) },
    load: [...entry.inFlight.values()].reduce((sum, count) => sum + count, 0)
  }
  send(world.network, entry.host, leader.host, () => {
    const reply = answerReport(world, leader, report)
    if (reply === undefined) return
    send(world.network, leader.host, entry.host, () => {
      if (entry.host.life === life) applyGrants(entry.limits, reply.serial, reply.grants, requestedAt)
    })
  })
}

function countRemaining (world: World, entry: EntryModel): Map<DrainId, number> {
  return new Map(listActiveDrains(entry.config).map(drain => {
    const servers = world.servers.filter(server => isDrainTarget(drain.target.kind, drain.target.name, server))
    return [drain.key, servers.reduce((sum, server) => sum + (entry.inFlight.get(server.host.name) ?? 0), 0)]
  }))
}

function isDrainTarget (kind: string, name: string, server: ServerModel): boolean {
  if (kind === 'server') return server.host.name === name
  return kind === 'failureDomain' ? server.domain === name : server.region === name
}

/** Returns whether this VM may act on its configuration now: whether its lease is valid. */
export function mayAct (world: World, entry: EntryModel): boolean {
  const now = world.network.now
  const isCurrent = world.disabledGuards.has('lease') ? entry.config.version > 0 : isLeaseValid(entry.configLease, now)
  if (isCurrent) checkConfigCurrent(world, entry.vm, entry.config.version, times.leaseMs)
  return isCurrent
}

/** Returns the servers that no active drain covers. */
export function listOpenServers (world: World, entry: EntryModel): ServerModel[] {
  const drains = listActiveDrains(entry.config)
  return world.servers.filter(server => !drains.some(drain => isDrainTarget(drain.target.kind, drain.target.name, server)))
}

/** Performs a lookup, which is answered if some server accepts new work. */
export function performLookup (world: World, entry: EntryModel): void {
  enterStep(world, 'lookup', entry.host)
  if (!entry.host.isAlive || entry.host.isFrozen || !mayAct(world, entry)) return
  world.checks.reads += 1
  if (listOpenServers(world, entry).length > 0) world.checks.readsAnswered += 1
}
