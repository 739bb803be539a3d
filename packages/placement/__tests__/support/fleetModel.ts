/**
 * Model of the entry VMs of a fleet with one clock: VMs are killed, frozen, cut off from the control VMs and added, and control VMs
 * restart. What a VM knows of the others, and when it may use a share of a bound, is the product's.
 */
import { createFleetMembership, recordEntryList } from '@lynxcourse/placement'
import type { ClockReading, FleetMembership } from '@lynxcourse/placement'

/** A disturbance; `vm` is taken modulo the number of VMs, and `share` of all VMs from there on are affected. */
export interface Disturbance {
  readonly kind: 'kill' | 'freeze' | 'cutOff' | 'holdSends' | 'add' | 'restartControl' | 'burst' | 'shift'
  readonly at: number
  readonly forMs: number
  readonly vm: number
  readonly share: number
}

/** One process of an entry VM. */
export interface ModelVm {
  readonly name: string
  readonly membership: FleetMembership
  readonly downUntil: number
  frozenUntil: number
  cutUntil: number
  /** Sends over connections that were in use before a partition are held up until it heals. */
  heldFrom: number
  heldUntil: number
  /** Time for which the steady clock has stood still. */
  stoodStillMs: number
  nextListAt: number
}

/** Plays the part of the model that a test adds. */
export interface ModelPlayer {
  /** Called in each step, with the VMs that run; `all` has the others too. */
  readonly step: (running: readonly ModelVm[], all: readonly ModelVm[], now: number) => void
}

export const stepMs = 50
const listIntervalMs = 1000
const presenceTtlMs = 5000
const learnMs = 2600
/** Time after which control VMs that have started know the entry VMs of each other; before, each knows only its own. */
const exchangeMs = 1600
const controlCount = 4
const maxDownMs = 2000

/** Plays the VMs for `endsAt` milliseconds. */
export function playFleet (vmCount: number, disturbances: readonly Disturbance[], endsAt: number, player: ModelPlayer): void {
  const vms = Array.from({ length: vmCount }, (_, index) => createVm(`vm-${index}`, 0))
  const listed = new Map<string, number>()
  let learnsUntil = learnMs
  for (let now = 0; now < endsAt; now += stepMs) {
    for (const disturbance of disturbances) {
      if (disturbance.at < now || disturbance.at >= now + stepMs) continue
      if (disturbance.kind === 'restartControl') {
        listed.clear()
        learnsUntil = now + disturbance.forMs + learnMs
      } else if (disturbance.kind === 'add') vms.push(createVm(`vm-${vms.length}`, now))
      else disturb(vms, disturbance, now)
    }
    const running = vms.filter(vm => isRunning(vm, now))
    for (const vm of running) refreshList(vm, listed, learnsUntil, now)
    player.step(running, vms, now)
  }
}

/** Returns whether a disturbance of a kind is in effect. */
export function isDisturbed (disturbances: readonly Disturbance[], kind: Disturbance['kind'], now: number): boolean {
  return disturbances.some(disturbance => disturbance.kind === kind && now >= disturbance.at && now < disturbance.at + disturbance.forMs)
}

/** Reads the clocks of a VM: the steady one stands still while the VM is frozen. */
export function readClocks (vm: ModelVm, now: number): ClockReading {
  return { steady: now - vm.stoodStillMs, wall: now }
}

function createVm (name: string, downUntil: number): ModelVm {
  return { name, membership: createFleetMembership(name), downUntil, frozenUntil: 0, cutUntil: 0, heldFrom: 0, heldUntil: 0, stoodStillMs: 0, nextListAt: 0 }
}

function disturb (vms: ModelVm[], { kind, forMs, vm: first, share }: Disturbance, now: number): void {
  const count = Math.max(1, Math.round(vms.length * share))
  for (let offset = 0; offset < count; offset++) {
    const index = (first + offset) % vms.length
    const vm = vms[index] as ModelVm
    // A process that starts during a partition has no connection across it, so nothing that it sends is held up.
    if (kind === 'kill') vms[index] = { ...createVm(vm.name, now + Math.min(forMs, maxDownMs)), cutUntil: vm.cutUntil }
    else if (kind === 'freeze') vm.frozenUntil = Math.max(vm.frozenUntil, now + forMs)
    else if (kind === 'cutOff') vm.cutUntil = Math.max(vm.cutUntil, now + forMs)
    else if (kind === 'holdSends') Object.assign(vm, { heldFrom: now, heldUntil: now + forMs })
  }
}

function isRunning (vm: ModelVm, now: number): boolean {
  if (now < vm.downUntil) return false
  if (now >= vm.frozenUntil) return true
  vm.stoodStillMs += stepMs
  return false
}

function refreshList (vm: ModelVm, listed: Map<string, number>, learnsUntil: number, now: number): void {
  if (now < vm.nextListAt || now < vm.cutUntil) return
  vm.nextListAt = now + listIntervalMs
  listed.set(vm.name, now)
  const isExchanged = now >= learnsUntil - learnMs + exchangeMs
  const names = [...listed].filter(([name, at]) => now - at < presenceTtlMs && (isExchanged || getControl(name) === getControl(vm.name))).map(([name]) => name)
  const clock = readClocks(vm, now)
  recordEntryList(vm.membership, { names, ageMs: now >= learnsUntil ? 0 : null }, clock, clock.steady)
}

/** Returns the number of the control VM that an entry VM asks. */
function getControl (name: string): number {
  return Number(name.split('-')[1]) % controlCount
}
