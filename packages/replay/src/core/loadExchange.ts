/** Reports of entry VMs, the leader's board, and what VMs are told of it. */
import { brandId } from '@lynxcourse/base'
import type { Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { scheduleAfter } from '@lynxcourse/base/timeline'
import { createLoadAggregate, applyDigest, addLoadReport, flushDigest, applyLoadUpdate, flushLoadReport, updateBoard } from '@lynxcourse/placement'
import type { KnownServer, ServiceSlots } from '@lynxcourse/placement'
import type { VmModel, World } from './world.js'

/** Time between two exchanges of the leader with the other control VMs, and between two reports of an entry VM. */
const exchangeMs: Millis = 400
const reportMs: Millis = 1000

/** Starts reports and exchanges, which go on until the replay ends. VMs have the first plans before the first caller comes. */
export function startExchanges (world: World): void {
  updateBoard(world.board, openSlots(world), serverPlaces(world), world.timeline.now)
  world.told = world.board.news
  for (const vm of world.vms) applyLoadUpdate(vm.entry, world.told, vm.region, world.timeline.now)
  for (const vm of world.vms) scheduleAfter(world.timeline, world.random() * reportMs, () => report(world, vm))
  scheduleAfter(world.timeline, exchangeMs, () => exchange(world))
}

function report (world: World, vm: VmModel): void {
  const { now } = world.timeline
  if (vm.isUp && !world.isControlCut) {
    const notes = flushLoadReport(vm.entry.load, now)
    if (notes !== undefined) addLoadReport(intakeOf(world, vm.region), vm.name, vm.region, notes, now)
    applyLoadUpdate(vm.entry, world.told, vm.region, now)
  }
  scheduleAfter(world.timeline, reportMs, () => report(world, vm))
}

function intakeOf (world: World, region: RegionId): ReturnType<typeof createLoadAggregate> {
  const held = world.intakes.get(region)
  if (held !== undefined) return held
  const made = createLoadAggregate()
  world.intakes.set(region, made)
  return made
}

function exchange (world: World): void {
  const { now } = world.timeline
  // Control VMs have what the leader told them at the exchange before.
  world.told = world.board.news
  if (!world.isControlCut) {
    for (const [region, intake] of world.intakes) applyDigest(world.board, region, flushDigest(intake, now), now)
    updateBoard(world.board, openSlots(world), serverPlaces(world), now)
  }
  scheduleAfter(world.timeline, exchangeMs, () => exchange(world))
}

function openSlots (world: World): ServiceSlots {
  const slots = new Map<ServiceId, Map<RegionId, number>>()
  for (const { service, region, slots: count, isUp, isLeaving } of world.backends.values()) {
    const byRegion = slots.get(service) ?? new Map<RegionId, number>(Object.keys(world.pattern.regions).map(name => [brandId<RegionId>(name), 0]))
    if (isUp && !isLeaving) byRegion.set(region, (byRegion.get(region) ?? 0) + count)
    slots.set(service, byRegion)
  }
  return slots
}

function serverPlaces (world: World): Map<ServerId, KnownServer> {
  const places = new Map<ServerId, KnownServer>()
  for (const { id, service, region, slots, isUp, isLeaving } of world.backends.values()) {
    if (isUp) places.set(id, { service, region, slots, isSettled: !isLeaving })
  }
  return places
}
