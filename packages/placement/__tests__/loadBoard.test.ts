/** The load board: what entry VMs observe of the load, combined at the leader. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { createLoadBoard, createLoadAggregate, createLoadObservations, omitKnownWeights, describeLoadChanges, recordQueueDepth, recordDemand, applyDigest, recordFailedServer, addLoadReport, flushDigest, flushLoadReport, storeLoadUpdate, flushPlanLines, updateBoard } from '@lynxcourse/placement'
import type { LoadBoard, KnownServers, ServiceSlots } from '@lynxcourse/placement'

const desk = brandId<ServiceId>('desk')
const kochi = brandId<RegionId>('kochi')
const chennai = brandId<RegionId>('chennai')
const server = brandId<ServerId>('i-1')
const knownServers: KnownServers = new Map([[server, { service: desk, region: kochi, slots: 3, isSettled: true }]])
const slots: ServiceSlots = new Map([[desk, new Map([[kochi, 300], [chennai, 30]])]])

/**
 * Lets `vms` entry VMs of Chennai report for some seconds, each with a demand of `busy` slots. Returns the time of the
 * next report.
 */
function reportDemand (board: LoadBoard, vms: number, busy: number, seconds: number, from = 0): number {
  const aggregate = createLoadAggregate()
  let now = from
  for (; now < from + seconds * 1000; now += 400) {
    for (let vm = 0; vm < vms; vm++) addLoadReport(aggregate, `vm-${vm}`, chennai, { servers: [[server, 6]], busy: [[desk, busy]], failed: [] }, now)
    applyDigest(board, 'control-1', flushDigest(aggregate, now), now)
    updateBoard(board, slots, knownServers, [], now)
  }
  return now
}

function getLocalShare (board: LoadBoard): number {
  const plan = board.news.plans.find(({ service }) => service === desk)?.shares ?? []
  return new Map(plan.find(([region]) => region === chennai)?.[1]).get(chennai) ?? 0
}

/** Guards against requests that wait behind a full queue while other servers are idle. */
test('a server that is full by the answers of many VMs is published, and no longer once it is not full', () => {
  const board = createLoadBoard()
  const now = reportDemand(board, 1, 2, 2)
  assert.equal(board.news.full[0]?.[0], server)
  assert.ok((board.news.full[0]?.[1] ?? 0) >= 5.9)
  for (let step = 0; step < 8; step++) applyDigest(board, 'control-1', { servers: [[server, 0]], busy: [], failed: [] }, now)
  updateBoard(board, slots, knownServers, [], now)
  assert.deepEqual(board.news.full, [])
})

test('a server without recent reports is forgotten', () => {
  const board = createLoadBoard()
  const now = reportDemand(board, 1, 2, 2)
  updateBoard(board, slots, knownServers, [], now + 3000)
  assert.deepEqual([board.news.full, board.queueDepths.size], [[], 0])
})

test('demand above the region\'s slots moves its objects away, a little each second', () => {
  const board = createLoadBoard()
  const now = reportDemand(board, 5, 4, 45)
  const before = getLocalShare(board)
  reportDemand(board, 5, 12, 4, now)
  const after = getLocalShare(board)
  assert.ok(after < before && before - after <= 0.03 * 4.4, `${before} to ${after}`)
})

test('the next leader continues from the current plan', () => {
  const board = createLoadBoard()
  const now = reportDemand(board, 5, 4, 45)
  const next = createLoadBoard()
  storeLoadUpdate(next, board.news, 0)
  applyDigest(next, 'control-1', { servers: [], busy: [[desk, chennai, 20]], failed: [] }, now)
  updateBoard(next, slots, knownServers, [], now)
  assert.ok(Math.abs(getLocalShare(next) - getLocalShare(board)) < 0.01)
})

/** Guards against requests that are sent to a region which has lost its servers. */
test('if a region loses servers, its objects move at once', () => {
  const board = createLoadBoard()
  const now = reportDemand(board, 5, 4, 45)
  const lost: ServiceSlots = new Map([[desk, new Map([[kochi, 300], [chennai, 3]])]])
  const before = getLocalShare(board)
  for (let step = 1; step <= 5; step++) {
    applyDigest(board, 'control-1', { servers: [], busy: [[desk, chennai, 20]], failed: [] }, now + step * 400)
    updateBoard(board, lost, knownServers, [], now + step * 400)
  }
  assert.ok(before - getLocalShare(board) > 0.2, `${before} to ${getLocalShare(board)}`)
})

test('an entry VM reports each answer\'s load once, and the slots that the requests of the interval need', () => {
  const observations = createLoadObservations(0)
  recordQueueDepth(observations, server, 4)
  recordQueueDepth(observations, server, 5)
  recordDemand(observations, desk, 600)
  recordDemand(observations, desk, 900)
  assert.equal(flushLoadReport(observations, 100), undefined)
  assert.deepEqual(flushLoadReport(observations, 1000), { servers: [[server, 5]], busy: [[desk, 1.5]], failed: [] })
  assert.deepEqual(flushLoadReport(observations, 2000), { servers: [], busy: [], failed: [] })
})

test('a plan that changed is logged with its demand and slots, an unchanged plan is not logged again', () => {
  const board = createLoadBoard()
  const now = reportDemand(board, 5, 4, 45)
  const first = flushPlanLines(board).find(({ region }) => region === chennai)
  assert.ok(first !== undefined && Math.abs(first.demand - 20) < 1 && first.slots === 30)
  assert.deepEqual(flushPlanLines(board), [])
  reportDemand(board, 5, 12, 4, now)
  assert.ok(flushPlanLines(board).some(({ region, near }) => region === chennai && near < first.near))
})

test('weights of unevenly loaded servers are published, once to each VM, and the next leader continues from them', () => {
  const board = createLoadBoard()
  const even = [1, 2, 3].map(place => brandId<ServerId>(`even-${place}`))
  const uneven: KnownServers = new Map([server, ...even].map(id => [id, { service: desk, region: kochi, slots: 3, isSettled: true }]))
  for (let now = 0; now < 8000; now += 400) {
    applyDigest(board, 'control-1', { servers: [[server, 9], ...even.map(id => [id, 1.5] as const)], busy: [], failed: [] }, now)
    updateBoard(board, slots, uneven, [], now)
  }
  const published = new Map(board.news.weights?.servers)
  assert.ok((published.get(server) ?? 1) < 0.8 && (published.get(even[0] as ServerId) ?? 1) > 1.1, JSON.stringify([...published]))
  assert.equal(omitKnownWeights(board.news, board.news.weights?.version ?? 0).weights, undefined)
  assert.deepEqual(omitKnownWeights(board.news, 0).weights, board.news.weights)
  const next = createLoadBoard()
  storeLoadUpdate(next, board.news, 0)
  assert.deepEqual(new Map(next.weights), published)
})

/** Guards against hundreds of requests that are lost at servers which failed together. */
test('a server that fails several VMs and answers none is published as silent, until it answers or for some seconds', () => {
  const board = createLoadBoard()
  const aggregate = createLoadAggregate()
  const exchange = (now: number): readonly ServerId[] => {
    applyDigest(board, 'control-1', flushDigest(aggregate, now), now)
    updateBoard(board, slots, knownServers, [], now)
    return board.news.silent
  }
  const report = (vm: string, answered: boolean, now: number): void =>
    addLoadReport(aggregate, vm, chennai, { servers: answered ? [[server, 1]] : [], busy: [], failed: answered ? [] : [server] }, now)
  report('vm-1', true, 0)
  assert.deepEqual(exchange(0), [])
  report('vm-1', false, 400)
  assert.deepEqual(exchange(400), [], 'one VM may have lost its own link')
  report('vm-2', false, 800)
  assert.deepEqual(exchange(800), [server])
  report('vm-3', true, 1200)
  report('vm-4', false, 1200)
  assert.deepEqual(exchange(1200), [], 'one VM got an answer')
  for (const vm of ['vm-1', 'vm-2']) report(vm, false, 1600)
  assert.deepEqual(exchange(1600), [], 'VMs that get answers may not have reported them again yet')
  assert.deepEqual(exchange(2000), [server])
  assert.deepEqual(exchange(5000), [])
})

/** Guards against servers that all VMs lose because two failure domains can't reach each other. */
test('a server that VMs of one failure domain can\'t reach is not silent while others get answers from it', () => {
  const board = createLoadBoard()
  const aggregates = [createLoadAggregate(), createLoadAggregate()] as const
  for (let now = 0; now < 20_000; now += 100) {
    for (const vm of ['cut-1', 'cut-2', 'cut-3']) if (now % 1000 === 0) addLoadReport(aggregates[0], vm, chennai, { servers: [], busy: [], failed: [server] }, now)
    if (now % 300 === 0) addLoadReport(aggregates[1], `reached-${now % 900}`, chennai, { servers: [[server, 1]], busy: [], failed: [] }, now)
    if (now % 400 === 0) applyDigest(board, 'control-1', flushDigest(aggregates[0], now), now)
    if (now % 400 === 100) applyDigest(board, 'control-2', flushDigest(aggregates[1], now), now)
    if (now % 400 !== 0) continue
    updateBoard(board, slots, knownServers, [], now)
    assert.deepEqual(board.news.silent, [], `at ${now} ms`)
  }
})

test('an entry VM reports a failed server once, and not if the server answered later', () => {
  const observations = createLoadObservations(0)
  recordFailedServer(observations, server)
  assert.deepEqual(flushLoadReport(observations, 500)?.failed, [server])
  recordFailedServer(observations, server)
  recordQueueDepth(observations, server, 1)
  assert.deepEqual(flushLoadReport(observations, 1000), { servers: [[server, 1]], busy: [], failed: [] })
})

test('silent servers, their retrial and each version of the weights are logged once', () => {
  const previous = { full: [], plans: [], silent: [], weights: { version: 4, servers: [] } }
  const changed = { ...previous, silent: [server], weights: { version: 5, servers: [[server, 0.5] as const] } }
  assert.deepEqual(describeLoadChanges(previous, changed), [
    { message: 'Servers answer no VM.', fields: { servers: 'i-1' } },
    { message: 'Server weights published.', fields: { version: 5, servers: 1, least: 0.5, most: 0.5 } }
  ])
  assert.deepEqual(describeLoadChanges(changed, changed), [])
  assert.deepEqual(describeLoadChanges(changed, previous).map(({ message }) => message), ['Silent servers are tried again.'])
})

const cycleSeconds = 36
const amplitude = 0.55

/**
 * Lets the demand of two regions rise and fall in turn, as it does over a day. Returns the largest utilization of a
 * region after the first seconds, and the sum of the fractions of objects that moved.
 */
function simulateCycle (seconds: number, meanSlots: number): { fill: number, moved: number } {
  const board = createLoadBoard()
  const kochiSlots = 54
  const slotsByService: ServiceSlots = new Map([[desk, new Map([[kochi, kochiSlots], [chennai, kochiSlots / 3]])]])
  let previousShares = new Map<RegionId, number>()
  let moved = 0
  let fill = 0
  for (let now = 0; now < seconds * 1000; now += 400) {
    const deviation = Math.sin(now / 1000 / cycleSeconds * 2 * Math.PI) * amplitude
    const demand = new Map([[kochi, meanSlots * (1 - deviation)], [chennai, meanSlots * (1 + deviation)]])
    applyDigest(board, 'control-1', { servers: [], busy: [...demand].map(([region, busy]) => [desk, region, busy]), failed: [] }, now)
    updateBoard(board, slotsByService, knownServers, [], now)
    const plan = new Map((board.news.plans[0]?.shares ?? []).map(([region, shares]) => [region, new Map(shares)]))
    const localShares = new Map([kochi, chennai].map(region => [region, plan.get(region)?.get(region) ?? 0]))
    for (const [region, share] of localShares) moved += Math.abs(share - (previousShares.get(region) ?? share))
    previousShares = localShares
    const usedInChennai = (demand.get(chennai) ?? 0) * (localShares.get(chennai) ?? 0) + (demand.get(kochi) ?? 0) * (1 - (localShares.get(kochi) ?? 0))
    if (now > 5000) fill = Math.max(fill, usedInChennai / (kochiSlots / 3))
  }
  return { fill, moved }
}

/**
 * Guards against a region whose servers are overloaded while another region is half idle, and against objects that move
 * and turn cold all day.
 */
test('a plan is stable while demand rises and falls: no region is overloaded, and few objects move', () => {
  const { fill, moved } = simulateCycle(cycleSeconds * 2, 16)
  assert.ok(fill <= 0.85, `the utilization of a region was ${fill}`)
  assert.ok(moved < 0.8, `fractions of ${moved} moved`)
})

/** Guards against overloading a small region in the first seconds of demand. */
test('a demand that has just started does not move objects back to their region', () => {
  const board = createLoadBoard()
  const first = ((): number => { updateBoard(board, slots, knownServers, [], 0); return getLocalShare(board) })()
  reportDemand(board, 5, 12, 8, 400)
  assert.ok(getLocalShare(board) <= first + 0.01, `${first} to ${getLocalShare(board)}`)
})

/** Guards against moving every object to another server after all control VMs failed. */
test('a leader that continues from a former leader\'s update keeps its plan until reports have arrived', () => {
  const board = createLoadBoard()
  const now = reportDemand(board, 5, 12, 20)
  const next = createLoadBoard()
  storeLoadUpdate(next, board.news, 0)
  for (let passed = 0; passed < 2400; passed += 400) updateBoard(next, slots, knownServers, [], now + passed)
  assert.ok(Math.abs(getLocalShare(next) - getLocalShare(board)) < 0.01, `${getLocalShare(board)} to ${getLocalShare(next)}`)
})

test('two leaders never publish different weights under one version', () => {
  const [one, other] = [createLoadBoard(), createLoadBoard()]
  updateBoard(one, slots, knownServers, [], 100_000)
  updateBoard(other, slots, knownServers, [], 103_000)
  assert.notEqual(one.news.weights?.version, other.news.weights?.version)
})
