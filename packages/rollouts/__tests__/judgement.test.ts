/** How reports of VMs are merged, and how a version is judged by them. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { brandId } from '@lynxcourse/base'
import type { ServerId, ServiceId } from '@lynxcourse/base'
import { RatioTestJudge, computeWindow, followRollout, getEvidence, recordReports, takeSample } from '@lynxcourse/rollouts'
import type { AnswerCounts, RolloutReport, RolloutWatch } from '@lynxcourse/rollouts'
import type { RolloutItem, SoftwareVersion } from '@lynxcourse/state'

const seed = 91
console.log(`seed ${seed}`)

const desk = brandId<ServiceId>('desk')
const item: RolloutItem = { kind: 'rollout', key: desk, baseline: brandId<SoftwareVersion>('v1'), target: brandId<SoftwareVersion>('v2'), orderedAt: 0, durationMs: 12_000, state: 'observing', percent: 8, order: 7, step: 1, reason: '' }
const judge = new RatioTestJudge()

const count = (answers: number, failures = 0, slow = 0): AnswerCounts => ({ answers, failures, slow })

interface Counts { readonly baseline: AnswerCounts, readonly target: AnswerCounts }

/** Creates a report of one VM; `servers` are the answers and bad answers of the target's servers. */
function createReport (routes: Readonly<Record<string, Counts>>, servers: ReadonlyArray<readonly [number, number]>, order = 7): RolloutReport {
  return {
    service: desk,
    order,
    step: 1,
    inFlightAtBaseline: 0,
    routes: Object.entries(routes).map(([route, counts]) => ({ route, ...counts })),
    servers: servers.map(([answers, bad], index) => [brandId<ServerId>(`t${index}`), answers, bad] as const)
  }
}

function createWatch (report: RolloutReport): RolloutWatch {
  const watch = followRollout(undefined, item, 0)
  recordReports(watch, item, [['vm-1', [report]]])
  return watch
}

function judgeCounts (routes: Readonly<Record<string, Counts>>, servers: ReadonlyArray<readonly [number, number]>): string {
  return judge.judge(getEvidence(createWatch(createReport(routes, servers)), 0)).kind
}

/** Guards against evidence of an earlier order that decides a new one. */
test('reports of another order are ignored, and the latest report of a VM counts', () => {
  const routes = { lookup: { baseline: count(100), target: count(10) } }
  const watch = createWatch(createReport(routes, []))
  recordReports(watch, item, [['vm-2', [createReport(routes, [], 6)]], ['vm-1', [createReport({ lookup: { baseline: count(200), target: count(20) } }, [])]]])
  assert.deepEqual(getEvidence(watch, 0).whole.all, { baseline: count(200), target: count(20) })
})

/** Guards against negative counts, or a lost defect, after a VM restarted. */
test('all counts of a VM that restarted are new', () => {
  const watch = createWatch(createReport({ lookup: { baseline: count(100), target: count(10, 1) } }, [[10, 1]]))
  takeSample(watch, 0)
  recordReports(watch, item, [['vm-1', [createReport({ lookup: { baseline: count(30), target: count(4, 3) } }, [[4, 3]])]]])
  const [recent] = getEvidence(watch, 3000).recent
  assert.deepEqual(recent?.all, { baseline: count(30), target: count(4, 3) })
  assert.deepEqual([...recent?.servers.values() ?? []], [{ answers: 4, bad: 3 }])
})

/** Guards against sums that depend on how the requests are spread over VMs. */
test('counts of a period never are negative, and sum up over VMs', () => {
  const answers = fc.record({ answers: fc.nat(50), failures: fc.nat(5), slow: fc.nat(5) })
  const report = fc.record({ baseline: answers, target: answers }).map(counts => createReport({ lookup: counts }, [[counts.target.answers, counts.target.failures]]))
  fc.assert(fc.property(fc.array(fc.tuple(report, report), { maxLength: 6 }), pairs => {
    const past = new Map(pairs.map(([first], index) => [`vm-${index}`, first]))
    const current = new Map(pairs.map(([, second], index) => [`vm-${index}`, second]))
    const window = computeWindow(current, past)
    for (const { answers: sum, failures, slow } of [window.all.baseline, window.all.target]) assert.ok(sum >= 0 && failures >= 0 && slow >= 0)
    const total = pairs.reduce((sum, [, { routes }]) => sum + (routes[0]?.target.answers ?? 0), 0)
    assert.equal(computeWindow(current, new Map()).all.target.answers, total)
  }), { seed, numRuns: 200 })
})

/** Guards against a good version that is rolled back since a route with hardly any requests sent it none. */
test('a route with hardly any requests needs no answers of the target version', () => {
  const servers = [[20, 0], [20, 0]] as const
  assert.equal(judgeCounts({ lookup: { baseline: count(2000), target: count(40) }, rare: { baseline: count(1), target: count(0) } }, servers), 'good')
  assert.equal(judgeCounts({ lookup: { baseline: count(2000), target: count(40) }, used: { baseline: count(200), target: count(0) } }, servers), 'open')
})

/** Guards against a version that is bad under load and is promoted since a tenth of its answers at little load look harmless. */
test('a version that is clearly worse than the baseline is not good, unless one server explains it', () => {
  const routes = { lookup: { baseline: count(2122, 1), target: count(71, 7) } }
  assert.equal(judgeCounts(routes, [[24, 3], [24, 2], [23, 2]]), 'open')
  assert.equal(judgeCounts(routes, [[10, 7], [31, 0], [30, 0]]), 'good')
  assert.equal(judgeCounts({ lookup: { baseline: count(2122, 127), target: count(71, 7) } }, [[24, 3], [24, 2], [23, 2]]), 'good')
})

/** Guards against a defect that the other routes hide. */
test('a defect on one route makes the version bad', () => {
  const routes = { lookup: { baseline: count(2000), target: count(180) }, export: { baseline: count(200), target: count(18, 9) } }
  assert.equal(judgeCounts(routes, [[60, 3], [70, 3], [68, 3]]), 'bad')
})

/** Guards against a good version that is rolled back because one of its servers is gray. */
test('one bad server among several does not make the version bad, but it does if it is the only one', () => {
  const routes = { lookup: { baseline: count(2000), target: count(180, 30) } }
  assert.equal(judgeCounts(routes, [[50, 30], [60, 0], [70, 0]]), 'good')
  assert.equal(judgeCounts(routes, [[50, 15], [60, 15], [70, 0]]), 'bad')
  assert.equal(judgeCounts({ lookup: { baseline: count(2000), target: count(50, 30) } }, [[50, 30]]), 'bad')
})

/** Guards against a good version that is rolled back while answers are lost everywhere. */
test('bad answers at the same rate as the baseline\'s are no defect', () => {
  assert.equal(judgeCounts({ lookup: { baseline: count(2000, 400), target: count(400, 85) } }, [[200, 43], [200, 42]]), 'good')
})

/** Guards against a version that is promoted without evidence. */
test('without enough answers of both versions and of each route there is no verdict', () => {
  assert.equal(judgeCounts({}, []), 'open')
  assert.equal(judgeCounts({ lookup: { baseline: count(10), target: count(100) } }, [[50, 0], [50, 0]]), 'open')
  assert.equal(judgeCounts({ lookup: { baseline: count(1000), target: count(12) } }, [[6, 0], [6, 0]]), 'open')
  assert.equal(judgeCounts({ lookup: { baseline: count(1000), target: count(100) }, export: { baseline: count(500), target: count(5) } }, [[50, 0], [55, 0]]), 'open')
  assert.equal(judgeCounts({ lookup: { baseline: count(1000), target: count(100) }, export: { baseline: count(30), target: count(1) } }, [[50, 0], [51, 0]]), 'good')
})

/** Guards against a late defect that the good answers before it hide. */
test('a defect in a recent period counts, whatever the answers before it', () => {
  const watch = createWatch(createReport({ lookup: { baseline: count(9000), target: count(800) } }, [[400, 0], [400, 0]]))
  takeSample(watch, 0)
  recordReports(watch, item, [['vm-1', [createReport({ lookup: { baseline: count(9500), target: count(840, 15) } }, [[420, 8], [420, 7]])]]])
  assert.equal(judge.judge(getEvidence(watch, 1500)).kind, 'bad')
})
