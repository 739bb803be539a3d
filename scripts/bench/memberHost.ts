/** Many entry daemons in one process, for measuring what each costs and how fast changes reach them. */
import { settingsSchema, createSilentLogs, startDaemon } from '@lynxcourse/daemon'
import type { Daemon } from '@lynxcourse/daemon'
import { answerOrders } from '../support/childOrders.js'
import { settingsOf, tidewiseRegions } from '../support/topology.js'
import type { VmPlan } from '../support/topology.js'

/** What the parent asks. */
export type MemberOrder =
  | { readonly type: 'start', readonly count: number, readonly first: number, readonly control: readonly VmPlan[] }
  | { readonly type: 'stop', readonly count: number }
  | { readonly type: 'versions' }
  | { readonly type: 'cost' }

/** When each version was first in force at each node. */
export interface MemberVersions {
  /** By version: number of nodes that have it, and the time at which the last of them got it. */
  readonly versions: ReadonlyArray<readonly [number, number, number]>
  readonly nodes: number
  readonly current: number
}

export interface MemberCost {
  readonly rssMb: number
  readonly cpuSeconds: number
  readonly records: number
}

const daemons: Daemon[] = []
const reached = new Map<number, { count: number, last: number }>()

async function startOne (number: number, control: readonly VmPlan[]): Promise<void> {
  const region = tidewiseRegions[number % tidewiseRegions.length] ?? tidewiseRegions[0]
  const ip = `127.60.${Math.floor(number / 200)}.${number % 200 + 1}`
  const plan: VmPlan = {
    vm: `member-${number}`, region: region?.region ?? '', failureDomain: region?.domains[0] ?? '', isControl: false, ip, http: `${ip}:0`, rpc: `${ip}:0`, metrics: `${ip}:0`
  }
  const cfg = settingsSchema.parse(settingsOf(plan, [...control, plan], ''))
  const daemon = await startDaemon(cfg, cfg.callerBlocks, { logs: createSilentLogs(), seed: number })
  let version = 0
  daemon.node.changeListeners.push(() => {
    const now = daemon.node.config.version
    if (now === version) return
    for (let passed = version + 1; passed <= now; passed++) {
      const held = reached.get(passed) ?? { count: 0, last: 0 }
      reached.set(passed, { count: held.count + 1, last: Date.now() })
    }
    version = now
  })
  daemons.push(daemon)
}

async function obey (order: MemberOrder): Promise<object> {
  switch (order.type) {
    case 'start':
      for (let number = 0; number < order.count; number++) await startOne(order.first + number, order.control)
      return {}
    case 'stop':
      await Promise.all(daemons.splice(0, order.count).map(async daemon => await daemon[Symbol.asyncDispose]()))
      return {}
    case 'versions': {
      const versions = [...reached].map(([version, { count, last }]) => [version, count, last] as const)
      const current = daemons.filter(daemon => Number.isFinite(daemon.node.configLease.confirmedAt)).length
      return { versions, nodes: daemons.length, current } satisfies MemberVersions
    }
    case 'cost': {
      global.gc?.()
      const usage = process.cpuUsage()
      const records = daemons[0]?.node.directory.records.size ?? 0
      return { rssMb: process.memoryUsage().rss / 2 ** 20, cpuSeconds: (usage.user + usage.system) / 1e6, records } satisfies MemberCost
    }
  }
}

answerOrders<MemberOrder>(obey)
