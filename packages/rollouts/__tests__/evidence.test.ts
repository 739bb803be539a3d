/** Evidence that one entry VM counts, its own verdict, and the assignment of objects to versions. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { brandId } from '@lynxcourse/base'
import type { ServerId, ServiceId } from '@lynxcourse/base'
import { createEvidence, createRolloutReport, hasOwnBadVerdict, isTargetObject, recordEvidence } from '@lynxcourse/rollouts'
import type { AnswerKind, VmEvidence } from '@lynxcourse/rollouts'
import type { RolloutItem, SoftwareVersion } from '@lynxcourse/state'

const item: RolloutItem = { kind: 'rollout', key: brandId<ServiceId>('desk'), baseline: 'v1' as SoftwareVersion, target: 'v2' as SoftwareVersion, orderedAt: 0, durationMs: 12_000, state: 'observing', percent: 8, order: 5, step: 3, reason: '' }

function observe (evidence: VmEvidence, server: string, kinds: readonly AnswerKind[], route = 'read'): void {
  for (const kind of kinds) recordEvidence(evidence, route, 'target', brandId<ServerId>(server), kind)
}

function repeat (kind: AnswerKind, count: number): AnswerKind[] {
  return Array.from({ length: count }, () => kind)
}

/** Guards against objects that move between versions, and so become cold, each time the share grows. */
test('an object of the target version stays there at every higher share, and the share is met', () => {
  fc.assert(fc.property(fc.string(), fc.integer({ min: 0, max: 100 }), fc.integer({ min: 0, max: 100 }), (object, a, b) => {
    const [low, high] = [Math.min(a, b), Math.max(a, b)]
    assert.ok(!isTargetObject({ ...item, percent: low }, object) || isTargetObject({ ...item, percent: high }, object))
    assert.ok(isTargetObject({ ...item, percent: 100 }, object) && !isTargetObject({ ...item, percent: 0 }, object))
  }))
  const count = 20_000
  const assigned = Array.from({ length: count }, (_, index) => isTargetObject(item, `read|${index}`)).filter(Boolean).length
  assert.ok(Math.abs(assigned / count - 0.08) < 0.01, `${assigned}`)
})

/** Guards against a bad version that keeps getting requests until the leader's verdict, also if only one route shows the defect. */
test('bad answers of two servers show a bad version, on all routes and on a single one', () => {
  const evidence = createEvidence()
  observe(evidence, 's1', [...repeat('good', 4), ...repeat('failure', 4)])
  observe(evidence, 's2', [...repeat('good', 4), ...repeat('slow', 4)])
  assert.ok(hasOwnBadVerdict(evidence))
  const ofOneRoute = createEvidence()
  for (const server of ['s1', 's2']) {
    observe(ofOneRoute, server, repeat('good', 150))
    observe(ofOneRoute, server, repeat('failure', 3), 'write')
  }
  assert.ok(hasOwnBadVerdict(ofOneRoute))
})

/** Guards against a good version that is stopped for a single faulty server, or for failures that the baseline has too. */
test('one bad server among several and failures of both versions show no bad version', () => {
  const evidence = createEvidence()
  observe(evidence, 's1', repeat('failure', 30))
  observe(evidence, 's2', repeat('good', 30))
  assert.ok(!hasOwnBadVerdict(evidence))
  const ofBoth = createEvidence()
  for (const server of ['s1', 's2']) observe(ofBoth, server, [...repeat('good', 7), ...repeat('failure', 3)])
  for (const kind of [...repeat('good', 70), ...repeat('failure', 30)]) recordEvidence(ofBoth, 'read', 'baseline', brandId<ServerId>('b1'), kind)
  assert.ok(!hasOwnBadVerdict(ofBoth))
})

/** Guards against reports that grow without bound, and against counts that a later answer changes. */
test('a report is cumulative, bounded, and not changed by later answers', () => {
  const evidence = createEvidence()
  observe(evidence, 's1', ['good', 'slow', 'failure'])
  const report = createRolloutReport(item, evidence, 2)
  observe(evidence, 's1', ['failure'])
  assert.deepEqual(report, {
    service: 'desk',
    order: 5,
    step: 3,
    inFlightAtBaseline: 2,
    servers: [['s1', 3, 2]],
    routes: [{ route: 'read', baseline: { answers: 0, failures: 0, slow: 0 }, target: { answers: 3, failures: 1, slow: 1 } }]
  })
  for (let index = 0; index < 1000; index++) observe(evidence, `s${index}`, ['good'], `route ${index}`)
  const { routes, servers } = createRolloutReport(item, evidence, 0)
  assert.deepEqual([routes.length, servers.length], [64, 256])
})
