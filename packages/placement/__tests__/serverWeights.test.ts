/** Weights in rendezvous hashing: simulated load on many servers. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId, createRandom } from '@lynxcourse/base'
import type { FailureDomainId, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { createServerNotice } from '@lynxcourse/limits'
import { createFleetServer, minWeight, computeHashRanks, adjustWeights } from '@lynxcourse/placement'
import type { FleetServer } from '@lynxcourse/placement'

const desk = brandId<ServiceId>('desk')
const kochi = brandId<RegionId>('kochi')
const stepMs = 400
const slotsPerObject = 0.2
const slots = 3

function createServers (count: number): FleetServer[] {
  return Array.from({ length: count }, (_, index) => createFleetServer({
    id: brandId<ServerId>(`i-${index}`), service: desk, address: `10.0.0.${index}:80`, failureDomain: brandId<FailureDomainId>('kochi-a'), region: kochi, bornAt: 0, slots, isClosed: false
  }, -Infinity, createServerNotice()))
}

/** Returns the primary servers of all objects, and the resulting utilization of each server. */
function assignObjects (servers: readonly FleetServer[], objects: number): { homes: ServerId[], utilizations: Map<ServerId, number> } {
  const homes: ServerId[] = []
  const utilizations = new Map(servers.map(({ facts }) => [facts.id, 0]))
  for (let object = 0; object < objects; object++) {
    for (const [id, place] of computeHashRanks(servers, `read|${object}`, kochi)) {
      if (place !== 'primary') continue
      homes.push(id)
      utilizations.set(id, (utilizations.get(id) ?? 0) + slotsPerObject / slots)
    }
  }
  return { homes, utilizations }
}

function computeMaxToMeanRatio (utilizations: ReadonlyMap<ServerId, number>): number {
  const values = [...utilizations.values()]
  return Math.max(...values) / (values.reduce((sum, value) => sum + value, 0) / values.length)
}

/**
 * Adjusts the weights by utilizations with random errors of up to a third. Returns the number of moves to servers that
 * had not handled the object before.
 */
function simulateWeights (servers: readonly FleetServer[], objects: number, seconds: number): number {
  const random = createRandom(7)
  const weights = new Map<ServerId, number>()
  let moves = 0
  let before = assignObjects(servers, objects)
  const visited = before.homes.map(home => new Set([home]))
  for (let now = 0; now < seconds * 1000; now += stepMs) {
    const utilizations = [...before.utilizations].map(([id, fill]) => ({ id, service: desk, region: kochi, fill: fill * (1 + (random() - 0.5) * 0.66) }))
    adjustWeights(weights, utilizations, stepMs)
    for (const server of servers) server.weight = weights.get(server.facts.id) ?? 1
    const after = assignObjects(servers, objects)
    moves += after.homes.filter((home, object) => visited[object]?.has(home) === false).length
    after.homes.forEach((home, object) => visited[object]?.add(home))
    before = after
  }
  return moves
}

/** Guards against requests that wait at a few servers at low load while other servers are idle. */
test('weights even out the utilization of servers and move few objects', () => {
  const servers = createServers(144)
  const objects = 1125
  const before = computeMaxToMeanRatio(assignObjects(servers, objects).utilizations)
  const movesAfter15S = simulateWeights(createServers(144), objects, 15)
  const moves = simulateWeights(servers, objects, 60)
  const after = computeMaxToMeanRatio(assignObjects(servers, objects).utilizations)
  assert.ok(before > 1.8 && after < 1.5, `${before} to ${after}`)
  assert.ok(moves < objects / 4, `${moves} moves`)
  assert.ok(movesAfter15S < objects / 8, `${movesAfter15S} moves in the first 15 s`)
})

test('a server with an endless queue keeps the minimum weight, and a server without reports keeps its weight', () => {
  const weights = new Map<ServerId, number>()
  const utilizations = [9, 0.5, 0.5, 0.5].map((fill, index) => ({ id: brandId<ServerId>(`i-${index}`), service: desk, region: kochi, fill }))
  for (let step = 0; step < 200; step++) adjustWeights(weights, utilizations, stepMs)
  assert.equal(weights.get(brandId<ServerId>('i-0')), minWeight)
  assert.equal(weights.has(brandId<ServerId>('i-9')), false)
})
