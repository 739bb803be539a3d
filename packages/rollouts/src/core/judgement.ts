/** Judges a target version by the answers of its servers, compared with those of the baseline in the same period. */
import type { AnswerCounts } from '../types/evidence.js'
import { getBad } from './evidenceWindow.js'
import type { EvidenceWindow, ServerCounts, VersionCounts } from './evidenceWindow.js'

/** `open`: the evidence does not suffice for a verdict. */
export interface Verdict {
  readonly kind: 'good' | 'bad' | 'open'
  /** The evidence, for operators. */
  readonly reason: string
}

/** What all VMs observed since the order, and in recent periods, the longest first. */
export interface Evidence {
  readonly whole: EvidenceWindow
  readonly recent: readonly EvidenceWindow[]
}

/** A way to judge a version. */
export abstract class RolloutJudge {
  abstract judge (evidence: Evidence): Verdict
}

/** Smallest difference of the fractions of bad answers, relative to the good answers of the baseline, that makes a version bad. */
const minDefect = 0.25
/** Probability of calling a good version bad in one test; a rollout consists of about a hundred tests. */
const falseBad = 1e-5
/** Probability of calling a bad version good. */
const falseGood = 0.01
/** Probabilities at which the servers other than the worst one, or the second worst alone, are taken to show the defect too. */
const falseBadOfOthers = 0.01
const falseBadOfSecond = 1e-4
/** Probability of the counts of a period under a good version below which a good verdict waits. */
const suspicion = 0.05
/** Answers of the baseline that an estimate of its rate of bad answers starts with, and the rate among them. */
const priorAnswers = 20
const priorRate = 0.01
/**
 * Smallest rate of bad answers that a good version is expected to have. While the shares of the versions change, a burst of lost
 * answers hits them unequally: without this rate, 1 of 400 simulated good versions was rolled back for 13 bad of 79 answers,
 * and 3 of 400 for the first two answers of a gray server.
 */
const minRate = 0.03
/** With fewer answers of the baseline in a period, its rate at that time is unknown. */
const minBaselineAnswers = 10
/**
 * Rate of bad answers that is put down to other causes while the baseline's rate is unknown. Most requests go to the target
 * version then, and a disturbance of the network must not roll a good version back.
 */
const unknownRate = 0.2
/** Smallest rate of bad answers, and probabilities of the counts of all servers and of all but the worst one, for a doubt. */
const minDoubtRate = 0.01
const doubtProbability = 0.001
const doubtProbabilityOfOthers = 0.45
/** Answers of the target version, of all routes and of one route, that a good verdict needs. */
const minAnswers = 16
const minRouteAnswers = 16
/**
 * Answers that a rare route needs, relative to the baseline's answers: a fifth of what the observed share of the objects gets. Each
 * entry VM first earns its sends to the target version, so that a service with few requests gets less than its share.
 */
const minRouteFraction = 0.015
/** Answers of the target version in the longest recent period that a good verdict needs, since defects may appear late. */
const minRecentAnswers = 6

/**
 * Judges by a sequential probability ratio test for each route and for all routes, in the whole time since the order and in
 * recent periods: a defect that appears some seconds after the servers' start would take long to outweigh the good answers
 * before it.
 *
 * The defect must show at the other servers or at the second worst one too. One gray or slow server is no defect of its version.
 */
export class RatioTestJudge extends RolloutJudge {
  override judge (evidence: Evidence): Verdict {
    const { whole, recent } = evidence
    for (const window of [whole, ...recent]) {
      const bad = findBadCounts(window, whole)
      if (bad !== undefined) return { kind: 'bad', reason: bad }
    }
    const missing = findMissingEvidence(evidence) ?? findDoubt(evidence)
    return missing === undefined ? { kind: 'good', reason: describeCounts('all routes', whole.all) } : { kind: 'open', reason: missing }
  }
}

/** Returns a description of the counts that show a bad version; undefined if none do. */
function findBadCounts (window: EvidenceWindow, whole: EvidenceWindow): string | undefined {
  for (const { name, counts, rate } of listTests(window, whole)) {
    const { ratio, othersRatio, secondRatio } = computeRatios(counts.target, rate, window, whole)
    const isShared = othersRatio >= Math.log(1 / falseBadOfOthers) || secondRatio >= Math.log(1 / falseBadOfSecond)
    if (ratio >= Math.log(1 / falseBad) && isShared) return describeCounts(name, counts)
  }
  return undefined
}

/** Returns what a verdict still lacks; undefined if there is enough evidence. */
export function findMissingEvidence ({ whole, recent }: Evidence): string | undefined {
  const { baseline, target } = whole.all
  if (baseline.answers < priorAnswers) return `too few answers of the baseline: ${baseline.answers}`
  if (target.answers < minAnswers) return `too few answers of the target version: ${target.answers}`
  const latest = recent[0]?.all.target.answers ?? target.answers
  if (latest < minRecentAnswers) return `too few recent answers of the target version: ${latest}`
  for (const [route, counts] of whole.routes) {
    // A route with hardly any requests can't hold the rollout up: its share of the target's requests is below one.
    if (counts.target.answers < Math.floor(Math.min(minRouteAnswers, minRouteFraction * counts.baseline.answers))) return `too few answers of the target version on route '${route}': ${counts.target.answers}`
  }
  return undefined
}

/** Returns a description of counts that are neither good nor bad yet. */
function findDoubt ({ whole, recent }: Evidence): string | undefined {
  if (isWorseThanBaseline(whole)) return `worse than the baseline: ${describeCounts('all routes', whole.all)}`
  for (const window of [whole, ...recent]) {
    for (const { name, counts, rate, isAll } of listTests(window, whole)) {
      const { ratio, othersRatio } = computeRatios(counts.target, rate, window, whole)
      const limit = window !== whole ? Math.log(1 / suspicion) : isAll ? Math.log(falseGood) : 0
      if (Math.min(ratio, othersRatio) > limit) return `unclear: ${describeCounts(name, counts)}`
    }
  }
  return undefined
}

/**
 * Returns whether more answers of the target version were bad than chance explains, also without its worst server. A version that is bad
 * under load only shows a small defect while it is observed: a tenth of its answers, where the test for a bad version looks for a quarter.
 */
function isWorseThanBaseline (whole: EvidenceWindow): boolean {
  const { baseline, target } = whole.all
  const rate = Math.max(minDoubtRate, estimateWholeRate(baseline))
  const worst = [...whole.servers.values()].reduce<ServerCounts>((most, server) => server.bad > most.bad ? server : most, { answers: 0, bad: 0 })
  const others = { answers: Math.max(0, target.answers - worst.answers), bad: Math.max(0, getBad(target) - worst.bad) }
  return computeTail(getBad(target), target.answers * rate) < doubtProbability && computeTail(others.bad, others.answers * rate) < doubtProbabilityOfOthers
}

/** Returns the probability of at least `count` events where `expected` are expected (Poisson). */
function computeTail (count: number, expected: number): number {
  let term = Math.exp(-expected)
  let below = 0
  for (let events = 0; events < count; events++) {
    below += term
    term *= expected / (events + 1)
  }
  return Math.max(0, 1 - below)
}

interface RateTest {
  readonly name: string
  readonly isAll: boolean
  readonly counts: VersionCounts
  /** Rate of bad answers that a good version would have. */
  readonly rate: number
}

function listTests (window: EvidenceWindow, whole: EvidenceWindow): RateTest[] {
  const tests: RateTest[] = [{ name: 'all routes', isAll: true, counts: window.all, rate: estimateRate(window.all, whole.all) }]
  for (const [route, counts] of window.routes) tests.push({ name: `route '${route}'`, isAll: false, counts, rate: estimateRate(counts, whole.routes.get(route) ?? counts) })
  return tests
}

/** Estimates the baseline's rate of bad answers in a period; where it has few answers, the rate since the order counts more. */
function estimateRate ({ baseline }: VersionCounts, whole: VersionCounts): number {
  const rate = (getBad(baseline) + estimateWholeRate(whole.baseline) * priorAnswers) / (baseline.answers + priorAnswers)
  return Math.min(0.99, Math.max(baseline.answers < minBaselineAnswers ? unknownRate : minRate, rate))
}

/** Estimates the baseline's rate of bad answers since the order. */
function estimateWholeRate (baseline: AnswerCounts): number {
  return (getBad(baseline) + priorRate * priorAnswers) / (baseline.answers + priorAnswers)
}

/** Logarithms of the likelihood ratios of a bad to a good version. */
interface Ratios {
  readonly ratio: number
  /** Without the worst server. */
  readonly othersRatio: number
  /** Of the second worst server alone. */
  readonly secondRatio: number
}

/**
 * Returns the ratios of a test. Reports count the servers' answers over all routes, so that the worst server's bad answers are
 * all taken to be of the tested route.
 */
function computeRatios (target: AnswerCounts, rate: number, window: EvidenceWindow, whole: EvidenceWindow): Ratios {
  const bad = getBad(target)
  const ratio = computeRatio(target.answers, bad, rate)
  const rateOfAll = estimateRate(window.all, whole.all)
  const getServerRatio = (server: ServerCounts): number => computeRatio(server.answers, server.bad, rateOfAll)
  const [worst, second] = [...window.servers.values()].filter(({ answers }) => answers > 0).sort((left, right) => getServerRatio(right) - getServerRatio(left))
  if (worst === undefined || second === undefined) return { ratio, othersRatio: ratio, secondRatio: ratio }
  const total = [...window.servers.values()].reduce((sum, { answers }) => sum + answers, 0)
  const othersBad = Math.max(0, bad - worst.bad)
  const othersAnswers = Math.max(othersBad, target.answers * (1 - worst.answers / total))
  return { ratio, othersRatio: computeRatio(othersAnswers, othersBad, rate), secondRatio: getServerRatio(second) }
}

function computeRatio (answers: number, bad: number, goodRate: number): number {
  const badRate = goodRate + minDefect * (1 - goodRate)
  return bad * Math.log(badRate / goodRate) + (answers - bad) * Math.log((1 - badRate) / (1 - goodRate))
}

/** Describes the counts of both versions for operators. */
export function describeCounts (name: string, { baseline, target }: VersionCounts): string {
  return `${name}: ${getBad(target)} of ${target.answers} answers of the target version were bad, ${getBad(baseline)} of ${baseline.answers} of the baseline`
}
