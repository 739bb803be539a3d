/** The entry VMs that look-ups name. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId, createRandom } from '@lynxcourse/base'
import type { FailureDomainId, RegionId } from '@lynxcourse/base'
import { chooseEntries } from '@lynxcourse/placement'
import type { HeardEntry } from '@lynxcourse/placement'
import { kochi, mumbai } from './support/fleet.js'

const seed = 41
const staleMs = 2600
const now = 1500
const chennai = brandId<RegionId>('chennai')
const random = createRandom(seed)

function entry (name: string, region: RegionId, isReady = true, heardAt = 1000): HeardEntry {
  return { presence: { name, address: `${name}:80`, failureDomain: brandId<FailureDomainId>(`${region}-a`), region, isReady }, heardAt }
}

test('look-ups name ready VMs of the caller\'s region that were heard of late, else those of all regions', () => {
  const entries = [entry('k1', kochi), entry('k2', kochi, false), entry('k3', kochi, true, -5000), entry('m1', mumbai)]
  assert.deepEqual(chooseEntries(entries, kochi, staleMs, now, random), ['k1:80'])
  assert.deepEqual(chooseEntries(entries, chennai, staleMs, now, random).sort(), ['k1:80', 'm1:80'])
})

/*
 * An answer names 64 VMs at most, and it named the first ones that a control VM had heard of. Of a region with 76 VMs twelve got no callers,
 * and callers of a region without a VM of its own all went to the 64 that happened to be first of 185, nearly all in one region.
 */
test('where there are more VMs than an answer names, each of them is named as often as the others', () => {
  const entries = Array.from({ length: 185 }, (_, place) => entry(`vm-${place}`, place < 76 ? kochi : mumbai))
  for (const region of [kochi, chennai]) {
    const named = new Map<string, number>()
    const lookUps = 2000
    for (let lookUp = 0; lookUp < lookUps; lookUp++) {
      const addresses = chooseEntries(entries, region, staleMs, now, random)
      assert.equal(new Set(addresses).size, 64)
      for (const address of addresses) named.set(address, (named.get(address) ?? 0) + 1)
    }
    const fair = lookUps * 64 / (region === kochi ? 76 : 185)
    assert.equal(named.size, region === kochi ? 76 : 185)
    for (const [address, count] of named) assert.ok(Math.abs(count - fair) < fair * 0.2, `${address}: ${count} for ${fair}`)
  }
})
