/** The entry VMs that lookups return. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId, createRandom } from '@lynxcourse/base'
import type { FailureDomainId, RegionId } from '@lynxcourse/base'
import { selectEntries } from '@lynxcourse/placement'
import type { KnownEntry } from '@lynxcourse/placement'
import { kochi, mumbai } from './support/fleet.js'

const seed = 41
const staleMs = 2600
const now = 1500
const chennai = brandId<RegionId>('chennai')
const random = createRandom(seed)

function entry (name: string, region: RegionId, isReady = true, lastSeenAt = 1000): KnownEntry {
  return { presence: { name, address: `${name}:80`, failureDomain: brandId<FailureDomainId>(`${region}-a`), region, isReady }, lastSeenAt }
}

test('lookups return ready VMs of the caller\'s region that were seen recently, or else those of all regions', () => {
  const entries = [entry('k1', kochi), entry('k2', kochi, false), entry('k3', kochi, true, -5000), entry('m1', mumbai)]
  assert.deepEqual(selectEntries(entries, kochi, staleMs, now, random), ['k1:80'])
  assert.deepEqual(selectEntries(entries, chennai, staleMs, now, random).sort(), ['k1:80', 'm1:80'])
})

/*
 * Guards against entry VMs without callers. An answer holds at most 64 VMs; if it always named the first ones known, 12
 * of a region's 76 VMs would get no callers, and callers of a region without VMs would all use the first 64 of 185,
 * nearly all in one region.
 */
test('if there are more VMs than an answer holds, all of them are returned equally often', () => {
  const entries = Array.from({ length: 185 }, (_, index) => entry(`vm-${index}`, index < 76 ? kochi : mumbai))
  for (const region of [kochi, chennai]) {
    const counts = new Map<string, number>()
    const lookups = 2000
    for (let lookup = 0; lookup < lookups; lookup++) {
      const addresses = selectEntries(entries, region, staleMs, now, random)
      assert.equal(new Set(addresses).size, 64)
      for (const address of addresses) counts.set(address, (counts.get(address) ?? 0) + 1)
    }
    const expected = lookups * 64 / (region === kochi ? 76 : 185)
    assert.equal(counts.size, region === kochi ? 76 : 185)
    for (const [address, count] of counts) assert.ok(Math.abs(count - expected) < expected * 0.2, `${address}: ${count} for ${expected}`)
  }
})
