/** The entry VMs that look-ups name. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { FailureDomainId, RegionId } from '@lynxcourse/base'
import { chooseEntries } from '@lynxcourse/placement'
import { kochi, mumbai } from './support/fleet.js'

test('look-ups name ready VMs of the caller\'s region that were heard of late, else those of all regions', () => {
  const entry = (name: string, region: RegionId, isReady = true, heardAt = 1000): Parameters<typeof chooseEntries>[0][number] =>
    ({ presence: { name, address: `${name}:80`, failureDomain: brandId<FailureDomainId>(`${region}-a`), region, isReady }, heardAt })
  const entries = [entry('k1', kochi), entry('k2', kochi, false), entry('k3', kochi, true, -5000), entry('m1', mumbai)]
  assert.deepEqual(chooseEntries(entries, kochi, 2600, 1500), ['k1:80'])
  assert.deepEqual(chooseEntries(entries, brandId<RegionId>('chennai'), 2600, 1500), ['k1:80', 'm1:80'])
})
