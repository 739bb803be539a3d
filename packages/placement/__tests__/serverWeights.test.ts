/** Weights in rendezvous hashing: replays of load over many servers. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId, makeRandom } from '@lynxcourse/base'
import type { FailureDomainId, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { createFleetServer, minWeight, placesOf, adjustWeights } from '@lynxcourse/placement'
import type { FleetServer } from '@lynxcourse/placement'

const desk = brandId<ServiceId>('desk')
const kochi = brandId<RegionId>('kochi')
const stepMs = 400
const objectLoad = 0.2
const slots = 3

function serversOf (count: number): FleetServer[] {
  return Array.from({ length: count }, (_, place) => createFleetServer({
    id: brandId<ServerId>(`i-${place}`), service: desk, address: `10.0.0.${place}:80`, failureDomain: brandId<FailureDomainId>('kochi-a'), region: kochi, bornAt: 0, slots, isClosed: false
  }, -Infinity))
}

/** Homes of all objects, and how full that makes each server. */
function placeAll (servers: readonly FleetServer[], objects: number): { homes: ServerId[], fills: Map<ServerId, number> } {
  const homes: ServerId[] = []
  const fills = new Map(servers.map(({ facts }) => [facts.id, 0]))
  for (let object = 0; object < objects; object++) {
    for (const [id, place] of placesOf(servers, `read|${object}`, kochi)) {
      if (place !== 'primary') continue
      homes.push(id)
      fills.set(id, (fills.get(id) ?? 0) + objectLoad / slots)
    }
  }
  return { homes, fills }
}

function busiestToMean (fills: ReadonlyMap<ServerId, number>): number {
  const values = [...fills.values()]
  return Math.max(...values) / (values.reduce((sum, value) => sum + value, 0) / values.length)
}

/** Lets the weights follow fills that are measured with chance errors of a third; the moves to servers that had not held the object. */
function balance (servers: readonly FleetServer[], objects: number, seconds: number): number {
  const random = makeRandom(7)
  const weights = new Map<ServerId, number>()
  let moves = 0
  let before = placeAll(servers, objects)
  const held = before.homes.map(home => new Set([home]))
  for (let now = 0; now < seconds * 1000; now += stepMs) {
    const fills = [...before.fills].map(([id, fill]) => ({ id, service: desk, region: kochi, fill: fill * (1 + (random() - 0.5) * 0.66) }))
    adjustWeights(weights, fills, stepMs)
    for (const server of servers) server.weight = weights.get(server.facts.id) ?? 1
    const after = placeAll(servers, objects)
    moves += after.homes.filter((home, object) => held[object]?.has(home) === false).length
    after.homes.forEach((home, object) => held[object]?.add(home))
    before = after
  }
  return moves
}

/** Guards against this failure: in calm hours a part of all requests waits at a few servers while others are idle. */
test('weights even out what hashing gave, and move few objects', () => {
  const servers = serversOf(144)
  const objects = 1125
  const before = busiestToMean(placeAll(servers, objects).fills)
  const soon = balance(serversOf(144), objects, 15)
  const moves = balance(servers, objects, 60)
  const after = busiestToMean(placeAll(servers, objects).fills)
  assert.ok(before > 1.8 && after < 1.5, `${before} to ${after}`)
  assert.ok(moves < objects / 4, `${moves} moves`)
  assert.ok(soon < objects / 8, `${soon} moves in a quarter of the time`)
})

test('a server whose queue is endless keeps a part of its weight, and one that nobody hears of all', () => {
  const weights = new Map<ServerId, number>()
  const fills = [9, 0.5, 0.5, 0.5].map((fill, place) => ({ id: brandId<ServerId>(`i-${place}`), service: desk, region: kochi, fill }))
  for (let step = 0; step < 200; step++) adjustWeights(weights, fills, stepMs)
  assert.equal(weights.get(brandId<ServerId>('i-0')), minWeight)
  assert.equal(weights.has(brandId<ServerId>('i-9')), false)
})
