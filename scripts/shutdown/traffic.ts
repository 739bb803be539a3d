/** Starts the callers of a run, and the links between them and the entry VMs. */
import type { FleetLookup, ResourceStack } from '@lynxcourse/daemon'
import { addResource } from '@lynxcourse/daemon'
import { callAny } from '../soak/controlClient.js'
import { sleep } from '../support/processes.js'
import { startCaller } from './callers.js'
import type { Caller } from './callers.js'
import type { CallerTarget } from './connecting.js'
import type { RigFleet } from './fleet.js'
import { startForwarder } from './forwarder.js'
import type { CallerGroup } from './plan.js'
import { longReadRoute, orderRoute, readRoute } from './routeKinds.js'
import type { ShutdownHistory } from './types.js'
import type { RigVm } from './vms.js'

/** The callers of a run. */
export interface Traffic {
  readonly fleet: RigFleet
  readonly history: ShutdownHistory
  readonly stack: ResourceStack
  /** Addresses of the entry VMs that the last lookup returned. */
  named: ReadonlySet<string>
  readonly callers: Caller[]
}

const requestsPerSecond = 3
/** One in this many callers of a group sends long reads only. */
const longReadEvery = 3
const abandonShare = 0.1
const lookupIntervalMs = 500

export function createTraffic (fleet: RigFleet, history: ShutdownHistory, stack: ResourceStack): Traffic {
  return { fleet, history, stack, named: new Set(fleet.entries.map(getCallerAddress)), callers: [] }
}

function getCallerAddress (vm: RigVm): string {
  return vm.settings.listen.callers ?? ''
}

/** Looks up the entry VMs at intervals until `isOver` returns true. */
export async function keepLookingUp (traffic: Traffic, isOver: () => boolean): Promise<void> {
  const { client, entries } = traffic.fleet
  const region = entries[0]?.settings.region ?? ''
  while (!isOver()) {
    // Callers go on with the last answer while no control VM answers.
    const found = await callAny<FleetLookup>(client, 'fleet.lookup', { region }).catch(() => undefined)
    if (found !== undefined) traffic.named = new Set(found.addresses)
    await sleep(lookupIntervalMs)
  }
}

/** Starts the callers of a group; their ids begin with the name. */
export async function startGroup (traffic: Traffic, group: CallerGroup, name: string, seed: number): Promise<Caller[]> {
  const targets = await Promise.all(traffic.fleet.entries.map(async vm => await createTarget(traffic, vm, group)))
  const started = Array.from({ length: group.callers }, (_, index) => addResource(traffic.stack, startGroupCaller(traffic, group, targets, `${name}-${index}`, seed + index, index % longReadEvery === 0)))
  traffic.callers.push(...started)
  return started
}

async function createTarget ({ stack }: Traffic, vm: RigVm, { delayMs, bytesPerSecond }: CallerGroup): Promise<CallerTarget> {
  const address = getCallerAddress(vm)
  if (delayMs === 0 && bytesPerSecond === Infinity) return { vm: vm.name, address }
  return { vm: vm.name, address, forwarder: addResource(stack, await startForwarder(address, { delayMs, bytesPerSecond })) }
}

function startGroupCaller (traffic: Traffic, { vm, habit, followsLookups }: CallerGroup, targets: readonly CallerTarget[], name: string, seed: number, isLong: boolean): Caller {
  const read = isLong ? longReadRoute : readRoute
  const isNamed = ({ address }: CallerTarget): boolean => traffic.named.has(address)
  return startCaller({
    name,
    habit,
    seed,
    requestsPerSecond,
    limitsMs: read.limitsMs,
    timeoutsMs: { idempotent: isLong ? traffic.fleet.plan.longTimeoutMs : readRoute.timeoutMs, other: orderRoute.timeoutMs },
    abandonShare,
    idempotentShare: isLong ? 1 : 0.5,
    idempotentPath: read.path,
    otherPath: orderRoute.path,
    history: traffic.history,
    getTarget: () => followsLookups ? [...targets.slice(vm), ...targets.slice(0, vm)].find(isNamed) : targets[vm],
    ...(followsLookups ? { isNamed } : {})
  })
}
