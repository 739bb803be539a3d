/** Bad versions, and good versions beside troubles that have nothing to do with the version. */
import type { Scenario, SimulatedRequest, Trouble } from './simulation.js'

const half: Trouble = ({ isTarget }, random) => isTarget && random() < 0.5 ? 'fail' : undefined

function onlyIf (trouble: Trouble, condition: (request: SimulatedRequest) => boolean): Trouble {
  return (request, random) => condition(request) ? trouble(request, random) : undefined
}

export const badVersions: readonly Scenario[] = [
  { name: 'half of the answers fail', isBad: true, trouble: half },
  { name: 'answers are eight times slower', isBad: true, trouble: ({ isTarget }) => isTarget ? 'slow' : undefined },
  { name: 'half of the answers are slow', isBad: true, trouble: ({ isTarget }, random) => isTarget && random() < 0.5 ? 'slow' : undefined },
  { name: 'fails 3 s after the start', isBad: true, trouble: onlyIf(half, ({ serverAgeMs }) => serverAgeMs > 3000) },
  { name: 'fails 5 s after the start', isBad: true, trouble: onlyIf(half, ({ serverAgeMs }) => serverAgeMs > 5000) },
  { name: 'fails on one route', isBad: true, trouble: onlyIf(half, ({ route }) => route === 'export') },
  // The load is above half of its mean in all phases of the simulated day; the defect grows with it.
  { name: 'fails under load', isBad: true, trouble: ({ isTarget, load }, random) => isTarget && random() < 0.4 * load ? 'fail' : undefined },
  { name: 'half fail, and answers are lost', isBad: true, trouble: (request, random) => half(request, random) ?? loseAnswers(request, random) }
]

/** Loses answers in bursts: 30 % of those of a fourth of the VMs, for 600 ms out of 2 s, and 2 % of all others. */
function loseAnswers ({ now, vm }: SimulatedRequest, random: () => number): 'fail' | undefined {
  const isBurst = now % 2000 < 600 && vm % 4 === Math.floor(now / 2000) % 4
  return random() < (isBurst ? 0.3 : 0.02) ? 'fail' : undefined
}

export const goodVersions: readonly Scenario[] = [
  { name: 'good', isBad: false, trouble: () => undefined },
  { name: 'good, 16 s', isBad: false, trouble: () => undefined, durationMs: 16_000 },
  { name: 'good, servers start 2 s after the order', isBad: false, trouble: () => undefined, targetStartMs: 2000 },
  { name: 'answers are lost in bursts', isBad: false, trouble: loseAnswers },
  { name: 'a tenth of all answers is lost', isBad: false, trouble: (_request, random) => random() < 0.1 ? 'fail' : undefined },
  { name: 'one gray server of the target version', isBad: false, trouble: ({ isTarget, server }, random) => isTarget && server === 2 && random() < 0.8 ? 'fail' : undefined },
  { name: 'one slow server of the target version', isBad: false, trouble: ({ isTarget, server }) => isTarget && server === 1 ? 'slow' : undefined },
  { name: 'four slow servers of the baseline', isBad: false, trouble: ({ isTarget, server }) => !isTarget && server < 4 ? 'slow' : undefined }
]
