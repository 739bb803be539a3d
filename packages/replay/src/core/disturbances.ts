/** What happens to a fleet during a replay. */
import { scheduleAfter } from '@lynxcourse/base/timeline'
import type { Disturbance } from '../types/pattern.js'
import { crashBackend } from './backendModel.js'
import type { Backend } from './backendModel.js'
import { startVm, stopVm } from './vmModel.js'
import type { World } from './world.js'

/** Time after which entry VMs know that servers came or left. */
const directoryLagMs = 700
/** Time in which an entry VM starts. */
const vmStartMs = 1200

type Act<Kind extends Disturbance['kind']> = (world: World, disturbance: Extract<Disturbance, { kind: Kind }>) => void

/** How each kind acts. */
const acts: { readonly [Kind in Disturbance['kind']]: Act<Kind> } = {
  burst: (world, { factor, forS }) => {
    world.burst = factor
    scheduleAfter(world.timeline, forS * 1000, () => { world.burst = 1 })
  },
  callersMove: (world, { from, to, share, forS }) => {
    world.moved.set(from, { to, share })
    scheduleAfter(world.timeline, forS * 1000, () => world.moved.delete(from))
  },
  entryVmsStop: (world, { share, forS }) => {
    const stopped = world.vms.filter(() => world.random() < share)
    for (const vm of stopped) stopVm(vm)
    for (const vm of stopped) scheduleAfter(world.timeline, forS * 1000 + vmStartMs * (0.5 + world.random()), () => startVm(world, vm))
  },
  entryVmsRoll: (world, { atOnce, gapMs }) => {
    world.vms.forEach((vm, place) => scheduleAfter(world.timeline, Math.floor(place / atOnce) * gapMs, () => {
      stopVm(vm)
      scheduleAfter(world.timeline, vmStartMs, () => startVm(world, vm))
    }))
  },
  serversCrash: (world, { share, forS }) => crashFor(world, some(world, share), forS),
  domainReturnsCold: (world, { region, forS }) => {
    const domain = `${region}-0`
    crashFor(world, [...world.backends.values()].filter(backend => backend.failureDomain === domain), forS)
  },
  serversSlow: (world, { share, factor, forS }) => {
    const slowed = some(world, share)
    for (const backend of slowed) backend.slowness = factor
    scheduleAfter(world.timeline, forS * 1000, () => { for (const backend of slowed) backend.slowness = 1 })
  },
  serversShed: (world, { share, part, forS }) => {
    const shedding = some(world, share)
    for (const backend of shedding) backend.shedPart = part
    scheduleAfter(world.timeline, forS * 1000, () => { for (const backend of shedding) backend.shedPart = 0 })
  },
  serversLeave: (world, { share, forS }) => {
    const leaving = some(world, share)
    for (const backend of leaving) {
      backend.isLeaving = true
      tellVms(world, backend)
      scheduleAfter(world.timeline, 3 * directoryLagMs, () => crashBackend(backend))
    }
    scheduleAfter(world.timeline, forS * 1000, () => bringBack(world, leaving))
  },
  controlCut: (world, { forS }) => {
    world.isControlCut = true
    scheduleAfter(world.timeline, forS * 1000, () => { world.isControlCut = false })
  }
}

/** Plans all disturbances of the pattern. */
export function planDisturbances (world: World): void {
  for (const disturbance of world.pattern.disturbances) {
    scheduleAfter(world.timeline, disturbance.atS * 1000, () => {
      const act = acts[disturbance.kind] as Act<Disturbance['kind']>
      act(world, disturbance as never)
    })
  }
}

function some (world: World, share: number): Backend[] {
  return [...world.backends.values()].filter(() => world.random() < share)
}

function crashFor (world: World, backends: readonly Backend[], forS: number): void {
  for (const backend of backends) crashBackend(backend)
  // Their announcements are missed only after seconds; until then VMs find out by themselves.
  scheduleAfter(world.timeline, forS * 1000, () => bringBack(world, backends))
}

function bringBack (world: World, backends: readonly Backend[]): void {
  for (const backend of backends) {
    backend.isUp = true
    backend.isLeaving = false
    tellVms(world, backend)
  }
}

/** Entry VMs learn of a server's state from the directory. */
function tellVms (world: World, { id, isUp, isLeaving }: Backend): void {
  scheduleAfter(world.timeline, directoryLagMs, () => {
    for (const vm of world.vms) {
      const server = vm.entry.fleet.byId.get(id)
      if (server !== undefined) server.facts = { ...server.facts, isClosed: !isUp || isLeaving }
    }
  })
}
