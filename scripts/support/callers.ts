/** Callers that look up, cache the answer for its lifetime, and call. */
import { createRequestId } from '@lynxcourse/base'
import { Agent } from 'undici'
import type { RegionPlan } from './topology.js'

interface LookupVm { readonly ip: string, readonly port: number, readonly vm: string }

/** Callers of one block: they share a cache and connections. */
export interface CallerGroup {
  readonly region: RegionPlan
  readonly agent: Agent
  /** Any VMs that the callers know for look-ups. */
  readonly known: readonly string[]
  cache: Map<string, { readonly vms: readonly LookupVm[], readonly until: number }>
}

/** How a call ended. */
export interface CallResult {
  readonly service: string
  readonly kind: 'read' | 'once'
  readonly id: string | undefined
  /** The outcome header, or `cut` for an answer that broke off, or `no-vm`. */
  readonly outcome: string
  readonly status: number
  readonly tookMs: number
  readonly at: number
  readonly vm: string
  readonly wrongAnswer: boolean
  /** How many VMs failed before one answered. */
  readonly failovers: number
}

const lookupTimeoutMs = 2000
const callTimeoutMs = 10_000

/** Makes the callers of one /24 block. */
export function createCallers (region: RegionPlan, block: number, known: readonly string[]): CallerGroup {
  const agent = new Agent({ localAddress: `${region.callerNet}.${block}.1`, connect: { timeout: 500 }, keepAliveTimeout: 4000 })
  return { region, agent, known, cache: new Map() }
}

async function lookUp (group: CallerGroup, service: string): Promise<readonly LookupVm[]> {
  const cached = group.cache.get(service)
  if (cached !== undefined && cached.until > Date.now()) return cached.vms
  for (const vm of group.known) {
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

/** Calls a service once, going on to the next entry VM where one can't be reached. */
export async function callService (group: CallerGroup, service: string, kind: 'read' | 'once', deadlineMs = 2000): Promise<CallResult> {
  const startedAt = performance.now()
  const at = Date.now()
  const id = kind === 'once' ? createRequestId(at, Math.random) : undefined
  const echo = Math.random().toString(36).slice(2)
  const vms = await lookUp(group, service)
  let failovers = 0
  const done = (outcome: string, status: number, vm: string, wrongAnswer = false): CallResult =>
    ({ service, kind, id, outcome, status, tookMs: performance.now() - startedAt, at, vm, wrongAnswer, failovers })
  for (const vm of vms) {
    const headers: Record<string, string> = { 'x-echo': echo, 'lynx-deadline-ms': String(deadlineMs) }
    if (id !== undefined) headers['idempotency-key'] = id
    let sawHead = false
    try {
      const res = await group.agent.request({
        origin: `http://${vm.ip}:${vm.port}`, path: `/s/${service}/list`, method: kind === 'once' ? 'POST' : 'GET', headers, signal: AbortSignal.timeout(callTimeoutMs)
      })
      sawHead = true
      const body = await res.body.text()
      const outcome = String(res.headers['lynx-outcome'] ?? 'none')
      const isWrong = outcome === 'done' && (JSON.parse(body) as { echo: string }).echo !== echo
      return done(outcome, res.statusCode, vm.vm, isWrong)
    } catch {
      if (sawHead) return done('cut', 0, vm.vm)
      // No answer at all: the same request goes, under the same id, to the next VM.
      failovers += 1
    }
  }
  return done('no-vm', 0, '')
}
