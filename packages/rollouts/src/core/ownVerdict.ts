/**
 * A VM's own verdict on a version under observation. It only stops the sends of this VM, so that a bad version gets no more
 * requests even if the leader's verdict takes long; the leader judges the version by the counts of all VMs.
 */
import type { AnswerCounts } from '../types/evidence.js'
import type { VmEvidence } from './evidence.js'

/** Bad answers beyond the baseline's rate that a good version may have. */
const toleratedExcess = 0.03
/** Bad answers beyond the tolerated rate from which a version counts as bad. */
const badExcess = 0.25
const maxRate = 0.95
/** Probability that a good version is stopped. It is low, since each VM tests each route of each rollout. */
const falseStopProbability = 1e-4
const minLogLikelihoodRatio = Math.log(1 / falseStopProbability)
/** Bad answers of one server before it counts as showing the defect. */
const minBadOfServer = 2
/** Answers of one server before it counts as having taken part. */
const minAnswersOfServer = 4

/** Returns whether this VM's counts alone show that the version is bad, on one route or over all routes. */
export function hasOwnBadVerdict ({ routes, servers }: VmEvidence): boolean {
  const bad = [...servers.values()].filter(server => server.bad >= minBadOfServer).length
  const others = [...servers.values()].filter(server => server.bad < minBadOfServer && server.answers >= minAnswersOfServer).length
  // A single bad server among several is ejected like any bad server, and says nothing about its version.
  if (bad === 0 || (bad === 1 && others > 0)) return false
  const counts = [...routes.values()]
  if (counts.some(({ baseline, target }) => isBad(baseline, target))) return true
  return isBad(sumCounts(counts.map(({ baseline }) => baseline)), sumCounts(counts.map(({ target }) => target)))
}

/** Sequential probability ratio test of the target's rate of bad answers against the baseline's. */
function isBad (baseline: AnswerCounts, target: AnswerCounts): boolean {
  const bad = countBad(target)
  const baselineRate = baseline.answers === 0 ? 0 : countBad(baseline) / baseline.answers
  const goodRate = Math.min(maxRate - badExcess, baselineRate + toleratedExcess)
  const badRate = goodRate + badExcess
  const logRatio = bad * Math.log(badRate / goodRate) + (target.answers - bad) * Math.log((1 - badRate) / (1 - goodRate))
  return logRatio > minLogLikelihoodRatio
}

function countBad ({ failures, slow }: AnswerCounts): number {
  return failures + slow
}

function sumCounts (counts: readonly AnswerCounts[]): AnswerCounts {
  return counts.reduce((sum, { answers, failures, slow }) => ({ answers: sum.answers + answers, failures: sum.failures + failures, slow: sum.slow + slow }), { answers: 0, failures: 0, slow: 0 })
}
