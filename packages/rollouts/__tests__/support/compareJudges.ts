/** Prints a table of the two ways of judging over many seeds. Argument: number of seeds. */
import { RatioTestJudge } from '@lynxcourse/rollouts'
import type { RolloutJudge } from '@lynxcourse/rollouts'
import { badVersions, goodVersions } from './scenarios.js'
import { simulateRollout } from './simulation.js'
import type { Scenario } from './simulation.js'
import { ThresholdJudge } from './thresholdJudge.js'

const seeds = Number(process.argv[2] ?? 100)

function describeResults (scenario: Scenario, judge: RolloutJudge): string {
  const results = Array.from({ length: seeds }, (_, seed) => simulateRollout(scenario, judge, seed + 1))
  const wrong = results.filter(({ state }) => state !== (scenario.isBad ? 'rolledBack' : 'completed')).length
  const ends = results.map(({ endedAt }) => endedAt / 1000).sort((left, right) => left - right)
  const exposures = results.map(({ exposure }) => exposure * 100).sort((left, right) => left - right)
  const pick = (values: readonly number[], fraction: number): string => (values[Math.min(values.length - 1, Math.floor(values.length * fraction))] ?? 0).toFixed(1)
  const late = results.reduce((sum, { lateSends }) => sum + lateSends, 0)
  const exposure = scenario.isBad ? `${pick(exposures, 0.5)} (${pick(exposures, 1)})` : ''
  return `${wrong} | ${pick(ends, 0.5)} (${pick(ends, 1)}) | ${exposure}${late > 0 ? `, late sends ${late}` : ''}`
}

for (const scenario of [...badVersions, ...goodVersions]) {
  process.stdout.write(`| ${scenario.name} | ${describeResults(scenario, new RatioTestJudge())} | ${describeResults(scenario, new ThresholdJudge())} |\n`)
}
