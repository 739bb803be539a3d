/** A steady load of reads and once-only requests from the callers of all regions. */
import { callService, createCallers } from './callers.js'
import type { CallResult } from './callers.js'
import { sleep } from './processes.js'
import { tidewiseRegions } from './topology.js'

export interface TrafficRate {
  readonly readsPerSecond: number
  readonly oncePerSecond: number
  readonly services?: readonly string[]
  readonly deadlineMs?: number
}

export interface Traffic {
  readonly results: CallResult[]
  /** Stops new calls and waits for those under way. */
  stop: () => Promise<void>
}

const turnMs = 10

/** So many blocks that each VM of a region has some. */
const blocksPerRegion = 16

/** Starts the load: calls begin at their times whatever becomes of earlier ones. */
export function startTraffic (vms: readonly string[], rate: TrafficRate): Traffic {
  const groups = Array.from({ length: blocksPerRegion }, (_, block) => tidewiseRegions.map((region, place) => {
    const first = (place + block) % vms.length
    return createCallers(region, block, [...vms.slice(first), ...vms.slice(0, first)])
  })).flat()
  const services = rate.services ?? ['offers', 'ledger']
  const results: CallResult[] = []
  const open = new Set<Promise<void>>()
  let calls = 0
  let owedReads = 0
  let owedOnce = 0
  let last = performance.now()
  const start = (kind: 'read' | 'once'): void => {
    const number = calls++
    const group = groups[number % groups.length]
    const service = services[Math.floor(number / groups.length) % services.length]
    if (group === undefined || service === undefined) return
    const call = callService(group, service, kind, rate.deadlineMs).then(result => { results.push(result) })
    open.add(call)
    call.finally(() => open.delete(call)).catch(() => undefined)
  }
  const timer = setInterval(() => {
    const now = performance.now()
    owedReads += (now - last) / 1000 * rate.readsPerSecond
    owedOnce += (now - last) / 1000 * rate.oncePerSecond
    last = now
    for (; owedReads >= 1; owedReads--) start('read')
    for (; owedOnce >= 1; owedOnce--) start('once')
  }, turnMs)
  return {
    results,
    stop: async () => {
      clearInterval(timer)
      while (open.size > 0) await Promise.race([...open, sleep(50)])
      for (const group of groups) await group.agent.destroy()
    }
  }
}
