/** Counts the outcomes of a replay, and computes its figures. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import type { Millis } from '@lynxcourse/base'
import { createLimitUse } from './limitUse.js'
import type { LimitUse } from './limitUse.js'
import type { ColdCause } from '../types/coldCause.js'
import type { PauseUse } from './pauseUse.js'

/** Outcome of one caller's request, over all its attempts. */
export interface CompletedRequest {
  readonly route: string
  readonly region: string
  readonly startedAt: Millis
  readonly outcome: 'inTime' | 'late' | 'refused' | 'failed'
  /** Time from the start of the caller's first attempt to the end of the last one. */
  readonly tookMs: Millis
  readonly attainable: number
  readonly earned: number
  /** Why it earned less than `attainable`; undefined if it didn't. */
  readonly cause: LossCause | undefined
}

/**
 * Why a request lost benefit. `timeout` and `late` tell whether the object was cold at the last server; `lost` is a request whose
 * VM or server stopped, and `late after refusal` one that was served at its second attempt.
 */
export type LossCause = 'refused' | 'lost' | 'timeout cold' | 'timeout warm' | 'late cold' | 'late warm' | 'late after refusal'

interface BenefitSums { attainable: number, earned: number }

/** Counters that are updated while a replay runs. */
export interface Score {
  readonly total: BenefitSums
  readonly byRoute: Map<string, BenefitSums>
  readonly byRegion: Map<string, BenefitSums>
  readonly bySecond: Map<number, BenefitSums>
  readonly lossByCause: Map<LossCause, number>
  readonly outcomes: Record<CompletedRequest['outcome'], number>
  readonly latencies: Histogram
  sends: number
  /** Sends whose object was cold at the server, by cause. */
  readonly cold: Map<ColdCause, number>
  /** Sends to a server in another region than the VM's. */
  remoteSends: number
  openedConnections: number
  shed: number
  readonly limitUse: LimitUse
}

export function createScore (): Score {
  return {
    total: { attainable: 0, earned: 0 },
    byRoute: new Map(),
    byRegion: new Map(),
    bySecond: new Map(),
    lossByCause: new Map(),
    outcomes: { inTime: 0, late: 0, refused: 0, failed: 0 },
    latencies: build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000, numberOfSignificantValueDigits: 3 }),
    sends: 0,
    cold: new Map(),
    remoteSends: 0,
    openedConnections: 0,
    shed: 0,
    limitUse: createLimitUse()
  }
}

/** Records one completed request. */
export function recordCompletedRequest (score: Score, request: CompletedRequest): void {
  score.outcomes[request.outcome] += 1
  score.latencies.recordValue(Math.max(1, Math.round(request.tookMs)))
  if (request.cause !== undefined) score.lossByCause.set(request.cause, (score.lossByCause.get(request.cause) ?? 0) + request.attainable - request.earned)
  const second = Math.floor(request.startedAt / 1000)
  for (const sums of [score.total, getSums(score.byRoute, request.route), getSums(score.byRegion, request.region), getSums(score.bySecond, second)]) {
    sums.attainable += request.attainable
    sums.earned += request.earned
  }
}

function getSums<Key> (table: Map<Key, BenefitSums>, key: Key): BenefitSums {
  const existing = table.get(key)
  if (existing !== undefined) return existing
  const created = { attainable: 0, earned: 0 }
  table.set(key, created)
  return created
}

/** Figures of one replay. */
export interface Figures {
  /** Benefit earned, as a fraction of the attainable benefit. */
  readonly benefit: number
  readonly byRoute: Readonly<Record<string, number>>
  readonly byRegion: Readonly<Record<string, number>>
  readonly bySecond: readonly number[]
  /** Minimum of the benefit over two consecutive seconds. */
  readonly worstTwoSeconds: number
  /** Minimum of the benefit over the regions of callers. */
  readonly worstRegion: number
  /** Requests that were answered in time or late, as a fraction of all. */
  readonly served: number
  /** Requests that were not answered, on a log scale: 0 if none was answered, 1 if at most one in a thousand was not. */
  readonly nines: number
  /** Benefit lost by cause, as a fraction of the attainable benefit. */
  readonly lost: Readonly<Record<string, number>>
  readonly p50Ms: Millis
  readonly p99Ms: Millis
  readonly inTime: number
  readonly late: number
  readonly refused: number
  readonly failed: number
  /** Sends whose object was cold at the server, by cause, as a fraction of all sends. */
  readonly cold: Readonly<Record<string, number>>
  readonly coldPart: number
  readonly farPart: number
  readonly openedPart: number
  readonly shedPart: number
  /** Requests at servers that name a limit, as a fraction of what the limits allow. */
  readonly limitUsedPart: number
  /** Requests in the busiest window of such a server, as a fraction of the bound. */
  readonly limitWindowPart: number
  /** Most requests that a server got from one VM within a pause that it had asked for. */
  readonly pausedRequests: number
}

export function computeFigures (score: Score, pauseUses: readonly PauseUse[]): Figures {
  const { outcomes, latencies, sends, limitUse } = score
  const ended = Object.values(outcomes).reduce((sum, value) => sum + value, 0)
  const perRequest = (value: number): number => value / Math.max(1, ended)
  const perSend = (value: number): number => value / Math.max(1, sends)
  const seconds = [...score.bySecond].sort(([a], [b]) => a - b).map(([, sums]) => sums)
  return {
    benefit: getBenefitRatio(score.total),
    byRoute: getBenefitRatios(score.byRoute),
    byRegion: getBenefitRatios(score.byRegion),
    bySecond: seconds.map(getBenefitRatio),
    worstTwoSeconds: computeWorstTwoSeconds(seconds),
    worstRegion: Math.min(1, ...Object.values(getBenefitRatios(score.byRegion))),
    served: perRequest(outcomes.inTime + outcomes.late),
    nines: computeNines(perRequest(outcomes.refused + outcomes.failed)),
    lost: Object.fromEntries([...score.lossByCause].map(([cause, value]) => [cause, value / Math.max(1, score.total.attainable)])),
    p50Ms: latencies.getValueAtPercentile(50),
    p99Ms: latencies.getValueAtPercentile(99),
    inTime: perRequest(outcomes.inTime),
    late: perRequest(outcomes.late),
    refused: perRequest(outcomes.refused),
    failed: perRequest(outcomes.failed),
    cold: Object.fromEntries([...score.cold].map(([cause, count]) => [cause, perSend(count)])),
    coldPart: perSend([...score.cold.values()].reduce((sum, count) => sum + count, 0)),
    farPart: perSend(score.remoteSends),
    openedPart: perSend(score.openedConnections),
    shedPart: perSend(score.shed),
    limitUsedPart: limitUse.used / Math.max(1, limitUse.allowed),
    limitWindowPart: limitUse.maxWindowPart,
    pausedRequests: Math.max(0, ...pauseUses.map(({ mostRequests }) => mostRequests))
  }
}

/** Nines that count as perfect: one failure in a thousand. */
const maxNines = 3

function computeNines (unserved: number): number {
  return Math.min(1, -Math.log10(Math.max(unserved, 10 ** -maxNines)) / maxNines)
}

function getBenefitRatio ({ attainable, earned }: BenefitSums): number {
  return attainable === 0 ? 1 : earned / attainable
}

function getBenefitRatios (table: ReadonlyMap<string, BenefitSums>): Record<string, number> {
  return Object.fromEntries([...table].map(([key, sums]) => [key, getBenefitRatio(sums)]))
}

function computeWorstTwoSeconds (seconds: readonly BenefitSums[]): number {
  let worst = 1
  for (let second = 0; second + 1 < seconds.length; second++) {
    const [a, b] = [seconds[second] as BenefitSums, seconds[second + 1] as BenefitSums]
    worst = Math.min(worst, getBenefitRatio({ attainable: a.attainable + b.attainable, earned: a.earned + b.earned }))
  }
  return worst
}
