/** Runs many entry daemons in one process, to measure their cost and how fast changes reach them. */
import { settingsSchema, createSilentLogs, startDaemon } from '@lynxcourse/daemon'
import type { Daemon } from '@lynxcourse/daemon'
import { serveCommands } from '../support/childCommands.js'
import { buildSettings, tidewiseRegions } from '../support/topology.js'
import type { VmPlan } from '../support/topology.js'

/** A command from the parent process. */
export type MemberCommand =
  | { readonly type: 'start', readonly count: number, readonly first: number, readonly control: readonly VmPlan[] }
  | { readonly type: 'stop', readonly count: number }
  | { readonly type: 'versions' }
  | { readonly type: 'cost' }

/** How many nodes each configuration version has reached, and when. */
export interface MemberVersions {
  /** For each version: the version, the number of nodes that it has reached, and the time when it reached the last of them. */
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
const reachedVersions = new Map<number, { count: number, last: number }>()

async function startMember (number: number, control: readonly VmPlan[]): Promise<void> {
  const region = tidewiseRegions[number % tidewiseRegions.length] ?? tidewiseRegions[0]
  const ip = `127.60.${Math.floor(number / 200)}.${number % 200 + 1}`
  const plan: VmPlan = {
    vm: `member-${number}`, region: region?.region ?? '', failureDomain: region?.domains[0] ?? '', isControl: false, ip, http: `${ip}:0`, rpc: `${ip}:0`, metrics: `${ip}:0`
  }
  const cfg = settingsSchema.parse(buildSettings(plan, [...control, plan], ''))
  const daemon = await startDaemon(cfg, cfg.callerBlocks, { logs: createSilentLogs(), seed: number })
  let version = 0
  daemon.node.changeListeners.push(() => {
    const currentVersion = daemon.node.config.version
    if (currentVersion === version) return
    for (let reachedVersion = version + 1; reachedVersion <= currentVersion; reachedVersion++) {
      const entry = reachedVersions.get(reachedVersion) ?? { count: 0, last: 0 }
      reachedVersions.set(reachedVersion, { count: entry.count + 1, last: Date.now() })
    }
    version = currentVersion
  })
  daemons.push(daemon)
}

async function executeCommand (command: MemberCommand): Promise<object> {
  switch (command.type) {
    case 'start':
      for (let number = 0; number < command.count; number++) await startMember(command.first + number, command.control)
      return {}
    case 'stop':
      await Promise.all(daemons.splice(0, command.count).map(async daemon => await daemon[Symbol.asyncDispose]()))
      return {}
    case 'versions': {
      const versions = [...reachedVersions].map(([version, { count, last }]) => [version, count, last] as const)
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

serveCommands<MemberCommand>(executeCommand)
