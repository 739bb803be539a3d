/** An entry VM of the model: its lease, its reports and its look-ups. */
import { createHolderId } from '@lynxcourse/base'
import type { DrainId, Incarnation, VmId } from '@lynxcourse/base'
import { createHolderLimits, collectUsages, applyGrants } from '@lynxcourse/limits'
import { createConfigLease, isLeaseValid, renewConfigLease } from '@lynxcourse/membership'
import { listActiveDrains, createConfig, listCaps, applyDelta } from '@lynxcourse/state'
import { checkCurrent, checkVersion, passStep } from './checks.js'
import { answerReport, answerSync } from './controlDuties.js'
import type { Report } from './controlDuties.js'
import { repeatAt } from './controlModel.js'
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
    currency: createConfigLease(times.leaseMs),
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
  entry.holder = createHolderId(entry.vm, String(entry.host.life) as Incarnation)
  entry.config = createConfig()
  entry.currency = createConfigLease(times.leaseMs)
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
      const isWhole = applyDelta(entry.config, reply.delta)
      checkVersion(world, entry.vm, before, entry.config.version)
      entry.leader = reply.leader ?? entry.leader
      if (reply.ageMs === undefined) entry.asked += 1
      else if (isWhole) renewConfigLease(entry.currency, askedAt, reply.ageMs)
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
    usages: collectUsages(entry.limits, listCaps(entry.config).keys()),
    progress: { vm: entry.vm, version: entry.config.version, remaining: remainingOf(world, entry) },
    load: [...entry.inFlight.values()].reduce((sum, count) => sum + count, 0)
  }
  send(world.network, entry.host, leader.host, () => {
    const reply = answerReport(world, leader, report)
    if (reply === undefined) return
    send(world.network, leader.host, entry.host, () => {
      if (entry.host.life === life) applyGrants(entry.limits, reply.serial, reply.grants, askedAt)
    })
  })
}

function remainingOf (world: World, entry: EntryModel): Map<DrainId, number> {
  return new Map(listActiveDrains(entry.config).map(drain => {
    const servers = world.servers.filter(server => isCovered(drain.target.kind, drain.target.name, server))
    return [drain.key, servers.reduce((sum, server) => sum + (entry.inFlight.get(server.host.name) ?? 0), 0)]
  }))
}

function isCovered (kind: string, name: string, server: ServerModel): boolean {
  if (kind === 'server') return server.host.name === name
  return kind === 'failureDomain' ? server.domain === name : server.region === name
}

/** Whether this VM may act on its configuration now. */
export function mayAct (world: World, entry: EntryModel): boolean {
  const now = world.network.now
  const current = world.without.has('lease') ? entry.config.version > 0 : isLeaseValid(entry.currency, now)
  if (current) checkCurrent(world, entry.vm, entry.config.version, times.leaseMs)
  return current
}

/** Servers that this VM would give new work to. */
export function openServers (world: World, entry: EntryModel): ServerModel[] {
  const drains = listActiveDrains(entry.config)
  return world.servers.filter(server => !drains.some(drain => isCovered(drain.target.kind, drain.target.name, server)))
}

/** A look-up: which servers' regions a caller would be sent to. */
export function lookUp (world: World, entry: EntryModel): void {
  passStep(world, 'lookup', entry.host)
  if (!entry.host.alive || entry.host.frozen || !mayAct(world, entry)) return
  world.checks.reads += 1
  if (openServers(world, entry).length > 0) world.checks.readsAnswered += 1
}
