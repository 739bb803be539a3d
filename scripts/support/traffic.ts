/** Sends reads and once-only requests at a steady rate from the callers of all regions. */
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
  /** Stops new calls and waits for those in flight. */
  stop: () => Promise<void>
}

const tickMs = 10

/** Enough blocks that each VM of a region receives calls from some of them. */
const blocksPerRegion = 16

/** Starts an open-loop load: each call starts at its scheduled time, also if earlier calls have not finished. */
export function startTraffic (vms: readonly string[], rate: TrafficRate): Traffic {
  const groups = Array.from({ length: blocksPerRegion }, (_, block) => tidewiseRegions.map((region, regionIndex) => {
    const offset = (regionIndex + block) % vms.length
    return createCallers(region, block, [...vms.slice(offset), ...vms.slice(0, offset)])
  })).flat()
  const services = rate.services ?? ['offers', 'ledger']
  const results: CallResult[] = []
  const inFlight = new Set<Promise<void>>()
  let callCount = 0
  let dueReads = 0
  let dueOnce = 0
  let lastTickAt = performance.now()
  const start = (kind: 'read' | 'once'): void => {
    const index = callCount++
    const group = groups[index % groups.length]
    const service = services[Math.floor(index / groups.length) % services.length]
    if (group === undefined || service === undefined) return
    const call = callService(group, service, kind, rate.deadlineMs).then(result => { results.push(result) })
    inFlight.add(call)
    call.finally(() => inFlight.delete(call)).catch(() => undefined)
  }
  const timer = setInterval(() => {
    const now = performance.now()
    dueReads += (now - lastTickAt) / 1000 * rate.readsPerSecond
    dueOnce += (now - lastTickAt) / 1000 * rate.oncePerSecond
    lastTickAt = now
    for (; dueReads >= 1; dueReads--) start('read')
    for (; dueOnce >= 1; dueOnce--) start('once')
  }, tickMs)
  return {
    results,
    stop: async () => {
      clearInterval(timer)
      while (inFlight.size > 0) await Promise.race([...inFlight, sleep(50)])
      for (const group of groups) await group.agent.destroy()
    }
  }
}
