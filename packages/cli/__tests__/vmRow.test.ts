/** Rows of `lynxcourse fleet vms`. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { FailureDomainId, RegionId } from '@lynxcourse/base'
import { createVmRow } from '@lynxcourse/cli'

const presence = { name: 'vm-1', address: 'vm-1:80', failureDomain: brandId<FailureDomainId>('kochi-a'), region: brandId<RegionId>('kochi'), isReady: true }

test('an entry VM is listed with its capacity and utilization, which are left empty if unknown', () => {
  const empty = { name: 'vm-1', region: 'kochi', failureDomain: 'kochi-a', ready: true, cores: undefined, linkMbps: undefined, cpu: undefined, link: undefined, ageMs: 120 }
  assert.deepEqual(createVmRow({ presence, ageMs: 120.4 }), empty)
  assert.deepEqual(createVmRow({ presence: { ...presence, resources: { cores: 0.27, linkMbps: 5.81, cpuUse: 0.55, linkUse: 0.8 } }, ageMs: 120 }), { ...empty, cores: 0.27, linkMbps: 5.81, cpu: '55%', link: '80%' })
})
