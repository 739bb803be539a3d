/** Judges by fixed thresholds on counts; the alternative that the ratio test is compared with. */
import { RolloutJudge, describeCounts, findMissingEvidence, getBad } from '@lynxcourse/rollouts'
import type { Evidence, EvidenceWindow, Verdict, VersionCounts } from '@lynxcourse/rollouts'

const minBad = 10
const badExcess = 0.2
const goodExcess = 0.1
const minServers = 2
const minBadOfServer = 3

export class ThresholdJudge extends RolloutJudge {
  override judge (evidence: Evidence): Verdict {
    for (const window of [evidence.whole, ...evidence.recent]) {
      const tests: Array<readonly [string, VersionCounts]> = [['all routes', window.all], ...window.routes]
      const bad = tests.find(([, counts]) => getBad(counts.target) >= minBad && getExcess(counts) >= badExcess)
      if (bad !== undefined && countBadServers(window) >= minServers) return { kind: 'bad', reason: describeCounts(bad[0], bad[1]) }
    }
    const missing = findMissingEvidence(evidence)
    if (missing !== undefined) return { kind: 'open', reason: missing }
    const isGood = getExcess(evidence.whole.all) < goodExcess
    return { kind: isGood ? 'good' : 'open', reason: describeCounts('all routes', evidence.whole.all) }
  }
}

function getExcess ({ baseline, target }: VersionCounts): number {
  return getBad(target) / Math.max(1, target.answers) - getBad(baseline) / Math.max(1, baseline.answers)
}

function countBadServers ({ servers }: EvidenceWindow): number {
  return [...servers.values()].filter(({ bad }) => bad >= minBadOfServer).length
}
