/** Starts and controls the child process that runs the fake backend servers. */
import type { ChildProcess } from 'node:child_process'
import type { FakeServerCommand, FakeServerPlan, FakeServerReport } from './fakeServers.js'
import { forkScript, kill } from './processes.js'
import { tidewiseRegions } from './topology.js'

export interface FakeFleet extends AsyncDisposable {
  readonly child: ChildProcess
  readonly plans: readonly FakeServerPlan[]
}

/** Sends a command and waits for its reply. Only one command may be in progress at a time. */
async function sendCommand (child: ChildProcess, message: FakeServerCommand): Promise<unknown> {
  const reply = new Promise<unknown>(resolve => child.once('message', resolve))
  child.send(message)
  return await reply
}

/** Number and capacity of the fake servers of one service. */
export interface FakeServiceSize {
  readonly service: string
  readonly count: number
  readonly slots: number
  readonly connections: number
  readonly serviceMs: number
}

/** Tidewise's services: the offer desk and the fixture and commission ledger. */
export const tidewiseServices: readonly FakeServiceSize[] = [
  { service: 'offers', count: 20, slots: 3, connections: 330, serviceMs: 12 },
  { service: 'ledger', count: 12, slots: 3, connections: 330, serviceMs: 20 }
]

/** Viteri's services: conching control, and tempering and stock. */
export const viteriServices: readonly FakeServiceSize[] = [
  { service: 'conching', count: 30, slots: 6, connections: 400, serviceMs: 12 },
  { service: 'tempering', count: 12, slots: 3, connections: 400, serviceMs: 20 }
]

/** Plans the fake servers and spreads those of each service evenly over the failure domains. */
export function planServers (sizes: readonly FakeServiceSize[]): FakeServerPlan[] {
  const domains = tidewiseRegions.flatMap(region => region.domains)
  return sizes.flatMap((size, serviceIndex) => Array.from({ length: size.count }, (_, index) => {
    const domainIndex = index % domains.length
    return {
      server: `${size.service}-${index + 1}`,
      service: size.service,
      ip: `127.${20 + serviceIndex}.${domainIndex + 1}.${Math.floor(index / domains.length) + 1}`,
      failureDomain: domains[domainIndex] ?? '',
      slots: size.slots,
      connections: size.connections,
      serviceMs: size.serviceMs
    }
  }))
}

/** Starts the fake servers in one child process; they announce themselves to the VMs at `announceTo`. */
export async function startFleet (plans: readonly FakeServerPlan[], announceTo: readonly string[]): Promise<FakeFleet> {
  const child = forkScript('fakeServers.js', [])
  await sendCommand(child, { type: 'start', plans, announceTo })
  return { child, plans, [Symbol.asyncDispose]: async () => await kill(child) }
}

export async function leaveServer (fleet: FakeFleet, server: string): Promise<void> {
  await sendCommand(fleet.child, { type: 'leave', server })
}

export async function fetchFleetReport (fleet: FakeFleet): Promise<FakeServerReport> {
  return await sendCommand(fleet.child, { type: 'report' }) as FakeServerReport
}
