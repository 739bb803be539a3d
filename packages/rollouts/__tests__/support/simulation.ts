/** A rollout in simulated time: requests of entry VMs, their reports, and a leader that plans each step. */
import { brandId, createRandom, loadChart, nextState } from '@lynxcourse/base'
import type { Millis, Random, ServerId, ServiceId } from '@lynxcourse/base'
import { followRollout, planRolloutStep, recordReports, takeSample } from '@lynxcourse/rollouts'
import type { RolloutJudge, RolloutReport, RolloutView, RolloutWatch } from '@lynxcourse/rollouts'
import { isRunningRollout } from '@lynxcourse/state'
import type { RolloutItem, RolloutState, SoftwareVersion } from '@lynxcourse/state'

/** A request as troubles see it. */
export interface SimulatedRequest {
  readonly now: Millis
  readonly isTarget: boolean
  /** Number of the server among those of its version. */
  readonly server: number
  readonly serverAgeMs: Millis
  readonly route: string
  readonly vm: number
  /** Current rate of requests relative to the mean. */
  readonly load: number
}

/** Returns whether the answer is `fail` or `slow`; undefined for a good one. */
export type Trouble = (request: SimulatedRequest, random: Random) => 'fail' | 'slow' | undefined

export interface Scenario {
  readonly name: string
  readonly isBad: boolean
  readonly trouble: Trouble
  /** Time after the order at which the target's servers start; default 500 ms. */
  readonly targetStartMs?: Millis
  readonly durationMs?: Millis
  /** Times at which a leader is replaced. */
  readonly leaderLostAt?: readonly Millis[]
  /** Period in which no leader acts and no report arrives. */
  readonly cut?: readonly [Millis, Millis]
  readonly targetServers?: number
  /** Servers of the baseline, entry VMs and requests per second; default 45, 24 and 400. */
  readonly baselineServers?: number
  readonly entryVms?: number
  readonly requestsPerSecond?: number
}

export interface Result {
  readonly state: RolloutState
  readonly reason: string
  /** Time of the last step after the order. */
  readonly endedAt: Millis
  /** Requests sent to the target version, relative to all requests until the deadline. */
  readonly exposure: number
  /** Sends to the target later than five seconds after its 50th bad answer. */
  readonly lateSends: number
}

const slots = 9
const periodMs = 36_000
const stepMs = 50
const tickMs = 200
const reportMs = 1000
const relayMs = 300
const stateLagMs = 400
const latencyMs = 600
const timeoutMs = 2000
const longestRunMs = 30_000
const budget = 0.09
const chart = loadChart('rollout')

interface Sent { readonly answeredAt: Millis, readonly vm: number, readonly isTarget: boolean, readonly server: number, readonly route: string, readonly end: 'fail' | 'slow' | 'ok' }

interface VmCounts {
  sends: number
  targetSends: number
  inFlightAtBaseline: number
  readonly routes: Map<string, { baseline: { answers: number, failures: number, slow: number }, target: { answers: number, failures: number, slow: number } }>
  readonly servers: Map<number, [number, number]>
}

function createVmCounts (): VmCounts {
  return { sends: 0, targetSends: 0, inFlightAtBaseline: 0, routes: new Map(), servers: new Map() }
}

function countAnswer (vm: VmCounts, { isTarget, server, route, end }: Sent): void {
  const counts = vm.routes.get(route) ?? { baseline: { answers: 0, failures: 0, slow: 0 }, target: { answers: 0, failures: 0, slow: 0 } }
  vm.routes.set(route, counts)
  const version = isTarget ? counts.target : counts.baseline
  version.answers++
  if (end === 'fail') version.failures++
  if (end === 'slow') version.slow++
  if (!isTarget) {
    vm.inFlightAtBaseline--
    return
  }
  const [answers, bad] = vm.servers.get(server) ?? [0, 0]
  vm.servers.set(server, [answers + 1, bad + (end === 'ok' ? 0 : 1)])
}

function createReport (vm: VmCounts, { key, order }: RolloutItem, step: number): RolloutReport {
  return {
    service: key,
    order,
    step,
    inFlightAtBaseline: vm.inFlightAtBaseline,
    routes: [...vm.routes].map(([route, { baseline, target }]) => ({ route, baseline: { ...baseline }, target: { ...target } })),
    servers: [...vm.servers].map(([server, [answers, bad]]) => [brandId<ServerId>(`t${server}`), answers, bad] as const)
  }
}

/** Returns how many target servers get requests at a percentage: their share, with at least one in each of six failure domains. */
function countServersInUse (percent: number, targetServers: number): number {
  return Math.min(targetServers, Math.max(6, Math.round(targetServers * percent / 100)))
}

/** Runs one rollout until it ends. */
export function simulateRollout (scenario: Scenario, judge: RolloutJudge, seed: number): Result {
  const { trouble, targetStartMs = 500, durationMs = 12_000, leaderLostAt = [], cut = [Infinity, Infinity], baselineServers = 45, targetServers = baselineServers, entryVms = 24, requestsPerSecond = 400 } = scenario
  const random = createRandom(seed)
  const phase = random() * 2 * Math.PI
  const vms = Array.from({ length: entryVms }, createVmCounts)
  const reportPhases = vms.map(() => Math.floor(random() * reportMs / stepMs) * stepMs)
  let item: RolloutItem = { kind: 'rollout', key: brandId<ServiceId>('desk'), baseline: brandId<SoftwareVersion>('v1'), target: brandId<SoftwareVersion>('v2'), orderedAt: 0, durationMs, state: 'observing', percent: 8, order: 7, step: 1, reason: 'ordered' }
  const known: Array<{ readonly at: Millis, readonly item: RolloutItem }> = [{ at: 0, item }]
  let watch: RolloutWatch | undefined
  let inFlight: Sent[] = []
  let reports: Array<{ readonly at: Millis, readonly vm: string, readonly report: RolloutReport }> = []
  const totals = { due: 0, sent: 0, target: 0, bad: 0, fiftiethAt: Infinity, lateSends: 0, endedAt: 0 }
  for (let now = 0; now < longestRunMs; now += stepMs) {
    const atVms = known.findLast(({ at }) => at <= now)?.item ?? item
    if (!isRunningRollout(atVms) && now > durationMs) break
    const load = 1 + 0.55 * Math.sin(phase + 2 * Math.PI * now / periodMs)
    totals.due += requestsPerSecond * load * stepMs / 1000
    const hasTarget = now > targetStartMs + 500 && atVms.state !== 'rolledBack'
    while (totals.sent < totals.due) {
      const vm = Math.floor(random() * entryVms)
      const counts = vms[vm] as VmCounts
      const mayUse = atVms.state !== 'observing' || counts.targetSends + 1 <= budget * (counts.sends + 1)
      const isTarget = hasTarget && random() * 100 < atVms.percent && mayUse
      const server = Math.floor(random() * (isTarget ? countServersInUse(atVms.percent, targetServers) : baselineServers))
      const request: SimulatedRequest = { now, isTarget, server, serverAgeMs: now - targetStartMs, route: random() < 0.8 ? 'lookup' : 'export', vm, load }
      const end = trouble(request, random) ?? 'ok'
      inFlight.push({ answeredAt: now + (end === 'slow' ? timeoutMs : latencyMs * (0.5 + random())), vm, isTarget, server, route: request.route, end })
      counts.sends++
      if (now < durationMs || isTarget) totals.sent++
      else totals.due--
      if (isTarget) {
        counts.targetSends++
        totals.target++
        if (now > totals.fiftiethAt + 5000) totals.lateSends++
      } else counts.inFlightAtBaseline++
    }
    for (const sent of inFlight.filter(({ answeredAt }) => answeredAt <= now)) {
      countAnswer(vms[sent.vm] as VmCounts, sent)
      if (sent.isTarget && sent.end !== 'ok' && ++totals.bad === 50) totals.fiftiethAt = now
    }
    inFlight = inFlight.filter(({ answeredAt }) => answeredAt > now)
    vms.forEach((counts, index) => {
      if (now % reportMs === reportPhases[index]) reports.push({ at: now + relayMs, vm: `vm-${index}`, report: createReport(counts, item, atVms.step) })
    })
    if (leaderLostAt.some(at => now === at)) watch = undefined
    if (now % tickMs !== 0 || (now >= cut[0] && now < cut[1])) continue
    watch = followRollout(watch, item, now)
    for (const { vm, report } of reports.filter(({ at }) => at <= now)) recordReports(watch, item, [[vm, [report]]])
    reports = reports.filter(({ at }) => at > now)
    const serving = now > targetStartMs + 500 ? targetServers : 0
    if (serving > 0) watch.targetSeenAt ??= now
    const view: RolloutView = { targetServers: serving, targetSlots: now > targetStartMs + 3500 ? serving * slots : 0, baselineSlots: baselineServers * slots, entries: vms.map((_, index) => `vm-${index}`), longestTimeoutMs: timeoutMs }
    const step = isRunningRollout(item) ? planRolloutStep(item, watch, view, judge, now) : undefined
    takeSample(watch, now)
    if (step === undefined) continue
    item = { ...item, state: nextState(chart, item.state, step.event) as RolloutState, percent: step.percent, step: item.step + 1, reason: step.reason }
    totals.endedAt = now
    known.push({ at: now + stateLagMs, item })
  }
  return { state: item.state, reason: item.reason, endedAt: totals.endedAt, exposure: totals.target / totals.sent, lateSends: totals.lateSends }
}
