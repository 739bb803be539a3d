/** Load reports of entry VMs, the leader's load board, and the load updates that entry VMs receive in return. */
import { brandId } from '@lynxcourse/base'
import type { Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { scheduleAfter } from '@lynxcourse/base/timeline'
import { createLoadAggregate, applyDigest, addLoadReport, flushDigest, applyLoadUpdate, flushLoadReport, listLimitDemand, updateBoard } from '@lynxcourse/placement'
import type { KnownServer, ServiceSlots } from '@lynxcourse/placement'
import type { VmModel, World } from './world.js'

/** Interval between exchanges of the leader with the other control VMs, and between reports of an entry VM. */
const exchangeIntervalMs: Millis = 400
const reportIntervalMs: Millis = 1000

/** Starts the periodic reports and exchanges. Every VM has the first plans before the first request arrives. */
export function startLoadExchange (world: World): void {
  updateBoard(world.board, countOpenSlots(world), listKnownServers(world), world.vms, world.timeline.now)
  world.publishedUpdate = world.board.news
  for (const vm of world.vms) applyLoadUpdate(vm.entry, world.publishedUpdate, vm.region, world.timeline.now)
  for (const vm of world.vms) scheduleAfter(world.timeline, world.random() * reportIntervalMs, () => sendReport(world, vm))
  scheduleAfter(world.timeline, exchangeIntervalMs, () => exchangeLoads(world))
}

function sendReport (world: World, vm: VmModel): void {
  const { now } = world.timeline
  if (vm.isUp && !world.isControlCut) {
    const loadReport = flushLoadReport(vm.entry.load, now, listLimitDemand(vm.entry.fleet, now))
    if (loadReport !== undefined) addLoadReport(getRegionReports(world, vm.region), vm.name, vm.region, loadReport, now)
    applyLoadUpdate(vm.entry, world.publishedUpdate, vm.region, now)
  }
  scheduleAfter(world.timeline, reportIntervalMs, () => sendReport(world, vm))
}

function getRegionReports (world: World, region: RegionId): ReturnType<typeof createLoadAggregate> {
  const existing = world.reportsByRegion.get(region)
  if (existing !== undefined) return existing
  const created = createLoadAggregate()
  world.reportsByRegion.set(region, created)
  return created
}

function exchangeLoads (world: World): void {
  const { now } = world.timeline
  // Control VMs publish the update that the leader sent at the previous exchange.
  world.publishedUpdate = world.board.news
  if (!world.isControlCut) {
    for (const [region, reports] of world.reportsByRegion) applyDigest(world.board, region, flushDigest(reports, now), now)
    updateBoard(world.board, countOpenSlots(world), listKnownServers(world), world.vms.filter(vm => vm.isUp), now)
  }
  scheduleAfter(world.timeline, exchangeIntervalMs, () => exchangeLoads(world))
}

function countOpenSlots (world: World): ServiceSlots {
  const slots = new Map<ServiceId, Map<RegionId, number>>()
  for (const { service, region, slots: count, isUp, isLeaving } of world.backends.values()) {
    const byRegion = slots.get(service) ?? new Map<RegionId, number>(Object.keys(world.pattern.regions).map(name => [brandId<RegionId>(name), 0]))
    if (isUp && !isLeaving) byRegion.set(region, (byRegion.get(region) ?? 0) + count)
    slots.set(service, byRegion)
  }
  return slots
}

function listKnownServers (world: World): Map<ServerId, KnownServer> {
  const servers = new Map<ServerId, KnownServer>()
  for (const { id, service, region, slots, isUp, isLeaving } of world.backends.values()) {
    if (isUp) servers.set(id, { service, region, slots, isSettled: !isLeaving })
  }
  return servers
}
