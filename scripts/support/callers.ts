/** Test callers: they look up entry VMs, cache the answer for its TTL and send requests to the VMs. */
import { createRequestId } from '@lynxcourse/base'
import { Agent } from 'undici'
import type { RegionPlan } from './topology.js'

interface LookupVm { readonly ip: string, readonly port: number, readonly vm: string }

/** The callers of one /24 block, which share a lookup cache and connections. */
export interface CallerGroup {
  readonly region: RegionPlan
  readonly agent: Agent
  /** Addresses (`IP:port`) of the VMs that answer lookups, in the order in which the callers try them. */
  readonly lookupVms: readonly string[]
  cache: Map<string, { readonly vms: readonly LookupVm[], readonly until: number }>
}

/** The result of one call. */
export interface CallResult {
  readonly service: string
  readonly kind: 'read' | 'once'
  readonly id: string | undefined
  /** Value of the `lynx-outcome` header (`none` without one), `cut` for a truncated answer, or `no-vm` if no VM answered. */
  readonly outcome: string
  readonly status: number
  readonly tookMs: number
  readonly at: number
  readonly vm: string
  readonly isWrongAnswer: boolean
  /** Number of VMs that failed before one answered. */
  readonly failovers: number
}

const lookupTimeoutMs = 2000
const callTimeoutMs = 10_000

/** Creates the callers of one /24 block. */
export function createCallers (region: RegionPlan, block: number, lookupVms: readonly string[]): CallerGroup {
  const agent = new Agent({ localAddress: `${region.callerNet}.${block}.1`, connect: { timeout: 500 }, keepAliveTimeout: 4000 })
  return { region, agent, lookupVms, cache: new Map() }
}

async function lookUp (group: CallerGroup, service: string): Promise<readonly LookupVm[]> {
  const cached = group.cache.get(service)
  if (cached !== undefined && cached.until > Date.now()) return cached.vms
  for (const vm of group.lookupVms) {
    try {
      const res = await group.agent.request({ origin: `http://${vm}`, path: `/v1/lookup?service=${service}`, method: 'GET', signal: AbortSignal.timeout(lookupTimeoutMs) })
      const body = await res.body.text()
      if (res.statusCode !== 200) continue
      const answer = JSON.parse(body) as { ttlSeconds: number, vms: LookupVm[] }
      group.cache.set(service, { vms: answer.vms, until: Date.now() + answer.ttlSeconds * 1000 })
      return answer.vms
    } catch {
      // This VM does not answer; the caller knows others.
    }
  }
  return cached?.vms ?? []
}

/** Sends one request to a service, trying the entry VMs in order until one of them answers. */
export async function callService (group: CallerGroup, service: string, kind: 'read' | 'once', deadlineMs = 2000): Promise<CallResult> {
  const startedAt = performance.now()
  const at = Date.now()
  const id = kind === 'once' ? createRequestId(at, Math.random) : undefined
  const echo = Math.random().toString(36).slice(2)
  const vms = await lookUp(group, service)
  let failovers = 0
  const createResult = (outcome: string, status: number, vm: string, isWrongAnswer = false): CallResult =>
    ({ service, kind, id, outcome, status, tookMs: performance.now() - startedAt, at, vm, isWrongAnswer, failovers })
  for (const vm of vms) {
    const headers: Record<string, string> = { 'x-echo': echo, 'lynx-deadline-ms': String(deadlineMs) }
    if (id !== undefined) headers['idempotency-key'] = id
    let hasHeaders = false
    try {
      const res = await group.agent.request({
        origin: `http://${vm.ip}:${vm.port}`, path: `/s/${service}/list`, method: kind === 'once' ? 'POST' : 'GET', headers, signal: AbortSignal.timeout(callTimeoutMs)
      })
      hasHeaders = true
      const body = await res.body.text()
      const outcome = String(res.headers['lynx-outcome'] ?? 'none')
      const isWrongEcho = outcome === 'done' && (JSON.parse(body) as { echo: string }).echo !== echo
      return createResult(outcome, res.statusCode, vm.vm, isWrongEcho)
    } catch {
      if (hasHeaders) return createResult('cut', 0, vm.vm)
      // No response headers arrived: the same request goes to the next VM under the same id.
      failovers += 1
    }
  }
  return createResult('no-vm', 0, '')
}
