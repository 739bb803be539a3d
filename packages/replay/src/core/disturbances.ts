/** Injects the disturbances of a pattern into the replay. */
import { scheduleAfter } from '@lynxcourse/base/timeline'
import type { Disturbance } from '../types/pattern.js'
import { crashBackend } from './backendModel.js'
import type { Backend } from './backendModel.js'
import { recordLimitUse } from './limitUse.js'
import { startVm, stopVm } from './vmModel.js'
import type { World } from './world.js'

/** Delay after which entry VMs know that servers have started or announced that they leave. */
const directoryDelayMs = 700
/** Start-up time of an entry VM. */
const vmStartTimeMs = 1200

type Handler<Kind extends Disturbance['kind']> = (world: World, disturbance: Extract<Disturbance, { kind: Kind }>) => void

/** Handler of each kind of disturbance. */
const handlers: { readonly [Kind in Disturbance['kind']]: Handler<Kind> } = {
  burst: (world, { factor, forS }) => {
    world.burst = factor
    scheduleAfter(world.timeline, forS * 1000, () => { world.burst = 1 })
  },
  callersMove: (world, { from, to, share, forS }) => {
    world.movedCallers.set(from, { to, share })
    scheduleAfter(world.timeline, forS * 1000, () => world.movedCallers.delete(from))
  },
  entryVmsStop: (world, { share, forS }) => {
    const stopped = world.vms.filter(() => world.random() < share)
    for (const vm of stopped) stopVm(vm)
    for (const vm of stopped) scheduleAfter(world.timeline, forS * 1000 + vmStartTimeMs * (0.5 + world.random()), () => startVm(world, vm))
  },
  entryVmsRoll: (world, { atOnce, gapMs }) => {
    world.vms.forEach((vm, index) => scheduleAfter(world.timeline, Math.floor(index / atOnce) * gapMs, () => {
      stopVm(vm)
      scheduleAfter(world.timeline, vmStartTimeMs, () => startVm(world, vm))
    }))
  },
  serversCrash: (world, { share, forS }) => crashTemporarily(world, pickServers(world, share), forS),
  domainReturnsCold: (world, { region, forS }) => {
    const domain = `${region}-0`
    crashTemporarily(world, [...world.backends.values()].filter(backend => backend.failureDomain === domain), forS)
  },
  serversSlow: (world, { share, factor, forS }) => {
    const slowed = pickServers(world, share)
    for (const backend of slowed) backend.slowdown = factor
    scheduleAfter(world.timeline, forS * 1000, () => { for (const backend of slowed) backend.slowdown = 1 })
  },
  serversShed: (world, { share, part, forS }) => {
    const shedding = pickServers(world, share)
    for (const backend of shedding) backend.shedPart = part
    scheduleAfter(world.timeline, forS * 1000, () => { for (const backend of shedding) backend.shedPart = 0 })
  },
  serversPause: (world, { share, part, pauseS, forS }) => {
    const pausing = pickServers(world, share)
    for (const backend of pausing) {
      backend.pausePart = part
      backend.pauseMs = pauseS * 1000
    }
    scheduleAfter(world.timeline, forS * 1000, () => { for (const backend of pausing) backend.pausePart = 0 })
  },
  serversLimited: (world, { share, perSecond, forS }) => {
    const limited = pickServers(world, share)
    const since = world.timeline.now
    for (const backend of limited) backend.limit = perSecond
    scheduleAfter(world.timeline, forS * 1000, () => {
      for (const backend of limited) {
        recordLimitUse(world.score.limitUse, backend, since, world.timeline.now)
        backend.limit = undefined
        backend.limitedArrivals = []
      }
    })
  },
  serversLeave: (world, { share, forS }) => {
    const leaving = pickServers(world, share)
    for (const backend of leaving) {
      backend.isLeaving = true
      publishServerState(world, backend)
      scheduleAfter(world.timeline, 3 * directoryDelayMs, () => crashBackend(backend))
    }
    scheduleAfter(world.timeline, forS * 1000, () => restoreServers(world, leaving))
  },
  controlCut: (world, { forS }) => {
    world.isControlCut = true
    scheduleAfter(world.timeline, forS * 1000, () => { world.isControlCut = false })
  }
}

/** Schedules all disturbances of the pattern. */
export function scheduleDisturbances (world: World): void {
  for (const disturbance of world.pattern.disturbances) {
    scheduleAfter(world.timeline, disturbance.atS * 1000, () => {
      const handler = handlers[disturbance.kind] as Handler<Disturbance['kind']>
      handler(world, disturbance as never)
    })
  }
}

function pickServers (world: World, share: number): Backend[] {
  return [...world.backends.values()].filter(() => world.random() < share)
}

function crashTemporarily (world: World, backends: readonly Backend[], forS: number): void {
  for (const backend of backends) crashBackend(backend)
  // The directory notices missing announcements only after seconds; until then entry VMs notice the crash by failed requests.
  scheduleAfter(world.timeline, forS * 1000, () => restoreServers(world, backends))
}

function restoreServers (world: World, backends: readonly Backend[]): void {
  for (const backend of backends) {
    backend.isUp = true
    backend.isLeaving = false
    publishServerState(world, backend)
  }
}

/** Publishes a server's state to all entry VMs after the directory's delay. */
function publishServerState (world: World, { id, isUp, isLeaving }: Backend): void {
  scheduleAfter(world.timeline, directoryDelayMs, () => {
    for (const vm of world.vms) {
      const server = vm.entry.fleet.byId.get(id)
      if (server === undefined) continue
      server.facts = { ...server.facts, isClosed: !isUp || isLeaving }
      // A server that is back is another process, which has not said that it leaves.
      if (isUp && !isLeaving) server.notice.isLeaving = false
    }
  })
}
