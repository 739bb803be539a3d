/** Matching of routes, splits, and the entry VMs that look-ups name. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { brandId } from '@lynxcourse/base'
import type { FailureDomainId, RegionId, ServiceId } from '@lynxcourse/base'
import { buildRouteTable, chooseEntries, matchRoute, pickService } from '@lynxcourse/routing'
import { kochi, mumbai, route } from './support/fleet.js'

const seed = 23
console.log(`seed ${seed}`)

test('the longest prefix of the host wins, and the port does not count', () => {
  const table = buildRouteTable([route('a', { pathPrefix: '/a/' }), route('ab', { pathPrefix: '/a/b/' }), route('other', { host: 'b.example', pathPrefix: '/' })])
  assert.equal(matchRoute(table, 'A.example:80', '/a/b/c')?.name, 'ab')
  assert.equal(matchRoute(table, 'a.example', '/a/bc')?.name, 'a')
  assert.equal(matchRoute(table, 'a.example', '/b/'), undefined)
  assert.equal(matchRoute(table, 'c.example', '/a/'), undefined)
})

test('a split keeps to its weights within one request over any stretch', () => {
  const weights = fc.array(fc.integer({ min: 0, max: 100 }), { minLength: 2, maxLength: 5 }).filter(list => list.some(weight => weight > 0))
  fc.assert(fc.property(weights, fc.integer({ min: 1, max: 400 }), (list, count) => {
    const split = list.map((weight, place) => ({ service: brandId<ServiceId>(`s${place}`), weight }))
    const picker = new Map()
    const picked = new Map<string, number>()
    for (let sent = 0; sent < count; sent++) {
      const name = pickService(picker, route('x', { service: undefined, split }))
      picked.set(name, (picked.get(name) ?? 0) + 1)
    }
    const total = list.reduce((sum, weight) => sum + weight, 0)
    return split.every(part => Math.abs((picked.get(part.service) ?? 0) - count * part.weight / total) <= list.length)
  }), { seed })
})

test('look-ups name ready VMs of the caller\'s region that were heard of late, else those of all regions', () => {
  const entry = (name: string, region: RegionId, isReady = true, heardAt = 1000): Parameters<typeof chooseEntries>[0][number] =>
    ({ presence: { name, address: `${name}:80`, failureDomain: brandId<FailureDomainId>(`${region}-a`), region, isReady }, heardAt })
  const entries = [entry('k1', kochi), entry('k2', kochi, false), entry('k3', kochi, true, -5000), entry('m1', mumbai)]
  assert.deepEqual(chooseEntries(entries, kochi, 2600, 1500), ['k1:80'])
  assert.deepEqual(chooseEntries(entries, brandId<RegionId>('chennai'), 2600, 1500), ['k1:80', 'm1:80'])
})
