/** Route matching and weighted splits. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { brandId } from '@lynxcourse/base'
import type { ServiceId } from '@lynxcourse/base'
import { buildRouteTable, matchRoute, selectService } from '@lynxcourse/routing'
import { createRoute } from '@lynxcourse/state/testing'

const seed = 23
console.log(`seed ${seed}`)

test('the longest path prefix of the host matches, whatever the port', () => {
  const table = buildRouteTable([createRoute('a', { pathPrefix: '/a/' }), createRoute('ab', { pathPrefix: '/a/b/' }), createRoute('other', { host: 'b.example', pathPrefix: '/' })])
  assert.equal(matchRoute(table, 'A.example:80', '/a/b/c')?.name, 'ab')
  assert.equal(matchRoute(table, 'a.example', '/a/bc')?.name, 'a')
  assert.equal(matchRoute(table, 'a.example', '/b/'), undefined)
  assert.equal(matchRoute(table, 'c.example', '/a/'), undefined)
})

test('a split deviates from its weights by at most one request per part, after any number of requests', () => {
  const weights = fc.array(fc.integer({ min: 0, max: 100 }), { minLength: 2, maxLength: 5 }).filter(list => list.some(weight => weight > 0))
  fc.assert(fc.property(weights, fc.integer({ min: 1, max: 400 }), (list, count) => {
    const split = list.map((weight, index) => ({ service: brandId<ServiceId>(`s${index}`), weight }))
    const picker = new Map()
    const picked = new Map<string, number>()
    for (let sent = 0; sent < count; sent++) {
      const name = selectService(picker, createRoute('x', { service: undefined, split }))
      picked.set(name, (picked.get(name) ?? 0) + 1)
    }
    const total = list.reduce((sum, weight) => sum + weight, 0)
    return split.every(part => Math.abs((picked.get(part.service) ?? 0) - count * part.weight / total) <= list.length)
  }), { seed })
})

// Guards against routes that are accepted and never match, since host names of requests are compared in lower case.
test('a route matches its host in whatever case either is written', () => {
  const table = buildRouteTable([createRoute('a', { host: 'Desk.Example', pathPrefix: '/a/' })])
  for (const host of ['desk.example', 'DESK.example:80', 'Desk.Example']) assert.equal(matchRoute(table, host, '/a/1')?.name, 'a')
})
