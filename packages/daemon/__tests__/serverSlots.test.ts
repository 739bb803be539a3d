/** The slots and servers on which the leader plans, while servers of several software versions run. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { FailureDomainId, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { countOpenSlots, listKnownServers } from '@lynxcourse/daemon'
import type { FleetLayout } from '@lynxcourse/daemon'
import { createConfig, setItem } from '@lynxcourse/state'
import type { BackendItem, Config, RolloutItem, RolloutState, SoftwareVersion } from '@lynxcourse/state'

const service = brandId<ServiceId>('desk')
const north = brandId<RegionId>('north')
const domain = brandId<FailureDomainId>('north-a')
const layout: FleetLayout = { regions: new Map([[domain, north]]), hasVersions: true }
const [v1, v2, v3] = ['v1', 'v2', 'v3'].map(version => brandId<SoftwareVersion>(version)) as [SoftwareVersion, SoftwareVersion, SoftwareVersion]

function createServer (id: string, software: string, slots: number): BackendItem {
  const key = brandId<ServerId>(id)
  return { kind: 'backend', key, state: 'serving', facts: { id: key, service, address: `127.0.0.1:${slots}`, failureDomain: domain, slots, software, isDraining: false, bornAt: 1, seq: 1, coldMs: 0 } }
}

function createRollout (state: RolloutState, percent: number): RolloutItem {
  return { kind: 'rollout', key: service, baseline: v1, target: v2, orderedAt: 0, durationMs: 12_000, state, percent, order: 5, step: 1, reason: '' }
}

function createFleetConfig (rollout?: RolloutItem): Config {
  const config = createConfig()
  setItem(config, 1, { kind: 'serviceVersion', key: service, version: v1 })
  for (const [index, item] of [createServer('old', v1, 1), createServer('new', v2, 10), createServer('stray', v3, 100)].entries()) setItem(config, index + 2, item)
  if (rollout !== undefined) setItem(config, 5, rollout)
  return config
}

function count (config: Config, hasVersions = true): number | undefined {
  return countOpenSlots(config, { ...layout, hasVersions }).get(service)?.get(north)
}

// Guards against a region plan that sends objects to regions whose servers are of a version that gets no requests.
test('slots of versions that get few requests or none are not counted', () => {
  assert.equal(count(createFleetConfig()), 1)
  assert.equal(count(createFleetConfig(createRollout('observing', 8))), 1)
  assert.equal(count(createFleetConfig(createRollout('promoting', 100))), 10)
  assert.equal(count(createFleetConfig(createRollout('draining', 100))), 10)
  assert.equal(count(createFleetConfig(createRollout('rolledBack', 0))), 1)
})

test('a fleet that does not tell versions apart counts all slots', () => {
  assert.equal(count(createFleetConfig(), false), 111)
})

// Guards against weights that follow the low utilization of servers that get few requests.
test('a server of another version is known but not settled', () => {
  const settled = [...listKnownServers(createFleetConfig(createRollout('observing', 8)), layout)].map(([id, server]) => [id, server.isSettled])
  assert.deepEqual(settled, [['old', true], ['new', false], ['stray', false]])
})
