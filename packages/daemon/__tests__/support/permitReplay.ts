/**
 * A replay in virtual time of permits under load: entry VMs that run the real code, control VMs that issue from real buckets
 * with a processor that serves one question after another, and callers that return after a refusal.
 */
import { mock } from 'node:test'
import { performance } from 'node:perf_hooks'
import { brandId, createRandom } from '@lynxcourse/base'
import type { Millis, Random, TeamName } from '@lynxcourse/base'
import { createPermitIssuer, issuePermits, planRate } from '@lynxcourse/limits'
import type { PermitIssuer, RateBound, RateLimit } from '@lynxcourse/limits'
import { PermitChannel, createSilentLogs, createTeamPermits, obtainPermit, refillReserves } from '@lynxcourse/daemon'
import type { PermitReply, PermitRequest, TeamPermits } from '@lynxcourse/daemon'

export interface ReplayCfg {
  readonly entries: number
  readonly issuers: number
  readonly regions: number
  /** Mean requests per second at each entry VM, the variation of this load, and its period. */
  readonly perSecond: number
  readonly variation: number
  readonly periodMs: Millis
  /** Share of the load of each team. */
  readonly weights: readonly number[]
  /** Rate of each team as a multiple of its mean load; the burst is one second of it. */
  readonly headroom: number
  /** Factor of the first team's weight in the load, but not in its rate; the sum of the load stays the same. */
  readonly excess: number
  /** Time before the load begins, in which buckets and reserves fill. */
  readonly warmupMs: Millis
  readonly durationMs: Millis
  /** Processing time of a question, and of each team in it, at a control VM; the part of its processor that is left for questions. */
  readonly questionMs: Millis
  readonly teamMs: Millis
  readonly freeShare: number
  /** When the first control VM is frozen. */
  readonly frozenFrom: Millis
  readonly frozenUntil: Millis
  readonly seed: number
}

export interface ReplayResult {
  readonly requests: number
  /** Shares of all attempts that were refused. */
  readonly overRate: number
  readonly noPermits: number
  /** Number of attempts of all but the first team that were refused. */
  readonly othersRefused: number
  /** Requests of the first team that were served, as a multiple of its rate over the time. */
  readonly firstServed: number
  /** Share of requests that were refused at their last attempt. */
  readonly failed: number
  /** Wait for a permit in milliseconds, of the attempts that got one. */
  readonly p50: Millis
  readonly p99: Millis
  /** Questions per second of one entry VM. */
  readonly questions: number
  /** Share of questions that ended by a timeout. */
  readonly timedOut: number
}

interface Question {
  readonly requests: readonly PermitRequest[]
  readonly returnMs: Millis
  readonly resolve: (reply: PermitReply) => void
  isAbandoned: boolean
}

interface Issuer {
  readonly index: number
  readonly permits: PermitIssuer
  queue: Question[]
  busyUntil: Millis
}

interface Replay {
  readonly cfg: ReplayCfg
  readonly random: Random
  readonly limits: Map<TeamName, RateLimit>
  readonly first: TeamName
  readonly weights: readonly number[]
  readonly issuers: Issuer[]
  now: Millis
  questions: number
  timedOut: number
  readonly waits: Millis[]
  attempts: number
  requests: number
  refused: Record<'overRate' | 'noPermits', number>
  failed: number
  othersRefused: number
  firstServed: number
}

const bound: RateBound = { windowMs: 5000, overage: 0.1, slack: 20 }
const refillMs: Millis = 1000
const maxAttempts = 2
const deadlineMs: Millis = 5000
const nearMs: Millis = 1
const farMs: Millis = 35
/** Processing time of a question whose connection was closed before it was read. */
const abandonedMs: Millis = 0.3

class ReplayChannel extends PermitChannel {
  readonly #replay: Replay
  readonly #region: number
  readonly #order: readonly number[]

  constructor (replay: Replay, index: number) {
    super()
    const { issuers, regions } = replay.cfg
    this.#replay = replay
    this.#region = index % regions
    const all = Array.from({ length: issuers }, (_, issuer) => (issuer + index * regions) % issuers)
    this.#order = [...all.filter(issuer => this.#isNear(issuer)), ...all.filter(issuer => !this.#isNear(issuer))]
  }

  #isNear (issuer: number): boolean {
    return issuer % this.#replay.cfg.regions === this.#region
  }

  override listIssuers (): readonly string[] {
    return this.#order.map(String)
  }

  override async ask (address: string, requests: readonly PermitRequest[], timeoutMs: Millis): Promise<PermitReply> {
    const replay = this.#replay
    const oneWayMs = this.#isNear(Number(address)) ? nearMs : farMs
    replay.questions += 1
    return await new Promise((resolve, reject) => {
      const question: Question = { requests, returnMs: oneWayMs, resolve, isAbandoned: false }
      setTimeout(() => replay.issuers[Number(address)]?.queue.push(question), oneWayMs)
      setTimeout(() => {
        if (!question.isAbandoned) replay.timedOut += 1
        question.isAbandoned = true
        reject(new Error('timeout'))
      }, timeoutMs)
    })
  }
}

function runIssuer (replay: Replay, issuer: Issuer): void {
  const { cfg, now } = replay
  if (issuer.index === 0 && now >= cfg.frozenFrom && now < cfg.frozenUntil) {
    issuer.busyUntil = Math.max(issuer.busyUntil, now + 1)
    return
  }
  while (issuer.queue.length > 0 && issuer.busyUntil <= now) {
    const question = issuer.queue.shift() as Question
    const cost = question.isAbandoned ? abandonedMs : cfg.questionMs + cfg.teamMs * question.requests.length
    issuer.busyUntil = Math.max(issuer.busyUntil, now - 1) + cost / cfg.freeShare
    if (question.isAbandoned) continue
    const reply: PermitReply = { members: cfg.issuers, teams: question.requests.map(request => issue(replay, issuer, request)) }
    setTimeout(() => {
      if (question.isAbandoned) return
      question.isAbandoned = true
      question.resolve(reply)
    }, question.returnMs + Math.max(0, issuer.busyUntil - now))
  }
}

function issue ({ cfg, limits, now }: Replay, { index, permits }: Issuer, { team, wanted }: PermitRequest): PermitReply['teams'][number] {
  const plan = planRate(limits.get(team) as RateLimit, bound, cfg.issuers)
  const issuers = Array.from({ length: plan.issuers }, (_, issuer) => String(issuer))
  if (index >= plan.issuers) return { team, granted: 0, retryAfterMs: 0, issuers }
  const grant = issuePermits(permits, team, plan, wanted, now)
  return grant.granted === wanted ? { team, ...grant } : { team, ...grant, issuers }
}

async function sendRequest (replay: Replay, permits: TeamPermits, team: TeamName): Promise<void> {
  replay.requests += 1
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    const startedAt = replay.now
    const result = await obtainPermit(permits, team, startedAt, startedAt + deadlineMs)
    replay.attempts += 1
    if (result.type === 'permit') {
      replay.waits.push(replay.now - startedAt)
      if (team === replay.first) replay.firstServed += 1
      return
    }
    replay.refused[result.reason] += 1
    if (team !== replay.first) replay.othersRefused += 1
    await new Promise<void>(resolve => { setTimeout(resolve, Math.ceil(result.retryAfterMs)) })
  }
  replay.failed += 1
}

function countArrivals (random: Random, mean: number): number {
  let count = 0
  for (let left = Math.exp(-mean), product = random(); product > left; product *= random()) count += 1
  return count
}

function pickTeam (random: Random, teams: readonly TeamName[], weights: readonly number[]): TeamName {
  let left = random() * weights.reduce((sum, weight) => sum + weight, 0)
  for (const [index, weight] of weights.entries()) {
    left -= weight
    if (left < 0) return teams[index] as TeamName
  }
  return teams[0] as TeamName
}

/** Runs a replay; the load begins after all buckets and reserves have had time to fill. */
export async function replayPermits (cfg: ReplayCfg): Promise<ReplayResult> {
  const total = cfg.weights.reduce((sum, weight) => sum + weight, 0)
  const teams = cfg.weights.map((_, index) => brandId<TeamName>(`team-${index}`))
  const limits = new Map(teams.map((team, index) => {
    const rate = cfg.headroom * cfg.entries * cfg.perSecond * (cfg.weights[index] as number) / total
    return [team, { ratePerSecond: rate, burst: rate }]
  }))
  const issuers = Array.from({ length: cfg.issuers }, (_, index) => ({ index, permits: createPermitIssuer(0), queue: [], busyUntil: 0 }))
  const replay: Replay = { cfg, random: createRandom(cfg.seed), limits, first: teams[0] as TeamName, weights: cfg.weights.map((weight, index) => index === 0 ? weight * cfg.excess : weight), issuers, now: 0, questions: 0, timedOut: 0, waits: [], attempts: 0, requests: 0, refused: { overRate: 0, noPermits: 0 }, failed: 0, othersRefused: 0, firstServed: 0 }
  const realNow = performance.now.bind(performance)
  const origin = performance.timeOrigin
  performance.now = () => replay.now - origin
  mock.timers.enable({ apis: ['setTimeout'] })
  try {
    const entries = Array.from({ length: cfg.entries }, (_, index) => createTeamPermits(new ReplayChannel(replay, index), createSilentLogs(), replay.random))
    replay.now = -cfg.warmupMs
    for (const { permits } of issuers) permits.since = -cfg.warmupMs
    for (; replay.now < cfg.durationMs; replay.now += 1) await runStep(replay, entries, teams)
  } finally {
    mock.timers.reset()
    performance.now = realNow
  }
  const rate = (limits.get(replay.first) as RateLimit).ratePerSecond
  const { othersRefused, waits, attempts, requests, refused, failed, questions, timedOut } = replay
  const sorted = waits.toSorted((a, b) => a - b)
  const quantile = (share: number): Millis => sorted[Math.floor(share * (sorted.length - 1))] ?? 0
  return { requests, overRate: refused.overRate / attempts, noPermits: refused.noPermits / attempts, othersRefused, firstServed: replay.firstServed / rate / cfg.durationMs * 1000, failed: failed / requests, p50: quantile(0.5), p99: quantile(0.99), questions: questions / cfg.entries / (cfg.durationMs / 1000), timedOut: timedOut / questions }
}

async function runStep (replay: Replay, entries: readonly TeamPermits[], teams: readonly TeamName[]): Promise<void> {
  const { cfg, now, limits, random } = replay
  if (now === 0) replay.questions = 0
  mock.timers.tick(1)
  for (const issuer of replay.issuers) runIssuer(replay, issuer)
  for (const [index, permits] of entries.entries()) {
    if ((now + index * 17) % refillMs === 0) refillReserves(permits, { limits, bound, index, count: cfg.entries }, now)
    if (now < 0) continue
    const phase = 2 * Math.PI * (now / cfg.periodMs + (index % cfg.regions) / cfg.regions)
    const perMs = cfg.perSecond / 1000 * (1 + cfg.variation * Math.sin(phase))
    for (let count = countArrivals(random, perMs); count > 0; count--) sendRequest(replay, permits, pickTeam(random, teams, replay.weights)).catch(() => undefined)
  }
  await new Promise(resolve => setImmediate(resolve))
}
