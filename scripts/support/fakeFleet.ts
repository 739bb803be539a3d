/** The parent's side of the stand-in servers' process. */
import type { ChildProcess } from 'node:child_process'
import type { FakeOrder, FakePlan, FakeReport } from './fakeServers.js'
import { forkScript, kill } from './processes.js'
import { tidewiseRegions } from './topology.js'

export interface FakeFleet extends AsyncDisposable {
  readonly child: ChildProcess
  readonly plans: readonly FakePlan[]
}

/** Sends an order and waits for its answer; one at a time. */
async function order (child: ChildProcess, message: FakeOrder): Promise<unknown> {
  const answer = new Promise<unknown>(resolve => child.once('message', resolve))
  child.send(message)
  return await answer
}

/** Size of one service of stand-ins. */
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

/** Spreads servers over the failure domains. */
export function planServers (sizes: readonly FakeServiceSize[]): FakePlan[] {
  const domains = tidewiseRegions.flatMap(region => region.domains)
  return sizes.flatMap((size, group) => Array.from({ length: size.count }, (_, number) => {
    const place = number % domains.length
    return {
      server: `${size.service}-${number + 1}`,
      service: size.service,
      ip: `127.${20 + group}.${place + 1}.${Math.floor(number / domains.length) + 1}`,
      failureDomain: domains[place] ?? '',
      slots: size.slots,
      connections: size.connections,
      serviceMs: size.serviceMs
    }
  }))
}

/** Starts the stand-ins. */
export async function startFleet (plans: readonly FakePlan[], announceTo: readonly string[]): Promise<FakeFleet> {
  const child = forkScript('fakeServers.js', [])
  await order(child, { type: 'start', plans, announceTo })
  return { child, plans, [Symbol.asyncDispose]: async () => await kill(child) }
}

export async function leaveServer (fleet: FakeFleet, server: string): Promise<void> {
  await order(fleet.child, { type: 'leave', server })
}

export async function reportFleet (fleet: FakeFleet): Promise<FakeReport> {
  return await order(fleet.child, { type: 'report' }) as FakeReport
}
