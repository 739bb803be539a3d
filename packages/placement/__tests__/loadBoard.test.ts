/** What the entry VMs see of the load, put together at the leader. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { createLoadBoard, createLoadIntake, createLoadNotes, newsFor, newsLines, noteAhead, noteDemand, noteDigest, noteFailedServer, noteLoadReport, takeDigest, takeLoadReport, takeNews, takePlanLines, updateBoard } from '@lynxcourse/placement'
import type { LoadBoard, ServerPlaces, ServiceSlots } from '@lynxcourse/placement'

const desk = brandId<ServiceId>('desk')
const kochi = brandId<RegionId>('kochi')
const chennai = brandId<RegionId>('chennai')
const server = brandId<ServerId>('i-1')
const places: ServerPlaces = new Map([[server, { service: desk, region: kochi, slots: 3, isSettled: true }]])
const slots: ServiceSlots = new Map([[desk, new Map([[kochi, 300], [chennai, 30]])]])

/** Lets entry VMs of Chennai report for some seconds; each has so many slots busy. */
function play (board: LoadBoard, vms: number, busy: number, seconds: number, from = 0): number {
  const intake = createLoadIntake()
  let now = from
  for (; now < from + seconds * 1000; now += 400) {
    for (let vm = 0; vm < vms; vm++) noteLoadReport(intake, `vm-${vm}`, chennai, { servers: [[server, 6]], busy: [[desk, busy]], failed: [] }, now)
    noteDigest(board, 'control-1', takeDigest(intake, now), now)
    updateBoard(board, slots, places, now)
  }
  return now
}

function nearShare (board: LoadBoard): number {
  const plan = board.news.plans.find(({ service }) => service === desk)?.shares ?? []
  return new Map(plan.find(([region]) => region === chennai)?.[1]).get(chennai) ?? 0
}

/** Guards against this failure: requests wait behind a full queue while servers beside it are idle. */
test('a server that is full by the answers of many VMs is named to all, and no longer once it is not', () => {
  const board = createLoadBoard()
  const now = play(board, 1, 2, 2)
  assert.equal(board.news.full[0]?.[0], server)
  assert.ok((board.news.full[0]?.[1] ?? 0) >= 5.9)
  for (let step = 0; step < 8; step++) noteDigest(board, 'control-1', { servers: [[server, 0]], busy: [], failed: [] }, now)
  updateBoard(board, slots, places, now)
  assert.deepEqual(board.news.full, [])
})

test('a server that is gone or silent is forgotten', () => {
  const board = createLoadBoard()
  const now = play(board, 1, 2, 2)
  updateBoard(board, slots, places, now + 3000)
  assert.deepEqual([board.news.full, board.queueDepths.size], [[], 0])
})

test('demand over the region\'s slots moves its objects away, a little each second', () => {
  const board = createLoadBoard()
  const now = play(board, 5, 4, 45)
  const before = nearShare(board)
  play(board, 5, 12, 4, now)
  const after = nearShare(board)
  assert.ok(after < before && before - after <= 0.03 * 4.4, `${before} to ${after}`)
})

test('the next leader goes on from the plan that was in force', () => {
  const board = createLoadBoard()
  const now = play(board, 5, 4, 45)
  const next = createLoadBoard()
  takeNews(next, board.news)
  noteDigest(next, 'control-1', { servers: [], busy: [[desk, chennai, 20]], failed: [] }, now)
  updateBoard(next, slots, places, now)
  assert.ok(Math.abs(nearShare(next) - nearShare(board)) < 0.01)
})

/** Guards against this failure: requests go on to a region that has lost its servers. */
test('where a region loses servers, its objects move at once', () => {
  const board = createLoadBoard()
  const now = play(board, 5, 4, 45)
  const lost: ServiceSlots = new Map([[desk, new Map([[kochi, 300], [chennai, 3]])]])
  const before = nearShare(board)
  for (let step = 1; step <= 5; step++) {
    noteDigest(board, 'control-1', { servers: [], busy: [[desk, chennai, 20]], failed: [] }, now + step * 400)
    updateBoard(board, lost, places, now + step * 400)
  }
  assert.ok(before - nearShare(board) > 0.2, `${before} to ${nearShare(board)}`)
})

test('an entry VM reports each answer\'s load once, and the slots that what came in the time needs', () => {
  const notes = createLoadNotes(0)
  noteAhead(notes, server, 4)
  noteAhead(notes, server, 5)
  noteDemand(notes, desk, 600)
  noteDemand(notes, desk, 900)
  assert.equal(takeLoadReport(notes, 100), undefined)
  assert.deepEqual(takeLoadReport(notes, 1000), { servers: [[server, 5]], busy: [[desk, 1.5]], failed: [] })
  assert.deepEqual(takeLoadReport(notes, 2000), { servers: [], busy: [], failed: [] })
})

test('a plan that moves is told with what decided it, one that stands is not told again', () => {
  const board = createLoadBoard()
  const now = play(board, 5, 4, 45)
  const first = takePlanLines(board).find(({ region }) => region === chennai)
  assert.ok(first !== undefined && Math.abs(first.demand - 20) < 1 && first.slots === 30)
  assert.deepEqual(takePlanLines(board), [])
  play(board, 5, 12, 4, now)
  assert.ok(takePlanLines(board).some(({ region, near }) => region === chennai && near < first.near))
})

test('weights of uneven servers are told, once to each VM, and the next leader goes on from them', () => {
  const board = createLoadBoard()
  const even = [1, 2, 3].map(place => brandId<ServerId>(`even-${place}`))
  const all: ServerPlaces = new Map([server, ...even].map(id => [id, { service: desk, region: kochi, slots: 3, isSettled: true }]))
  for (let now = 0; now < 8000; now += 400) {
    noteDigest(board, 'control-1', { servers: [[server, 9], ...even.map(id => [id, 1.5] as const)], busy: [], failed: [] }, now)
    updateBoard(board, slots, all, now)
  }
  const told = new Map(board.news.weights?.servers)
  assert.ok((told.get(server) ?? 1) < 0.8 && (told.get(even[0] as ServerId) ?? 1) > 1.1, JSON.stringify([...told]))
  assert.equal(newsFor(board.news, board.news.weights?.version ?? 0).weights, undefined)
  assert.deepEqual(newsFor(board.news, 0).weights, board.news.weights)
  const next = createLoadBoard()
  takeNews(next, board.news)
  assert.deepEqual(new Map(next.weights), told)
})

/** Guards against this failure: hundreds of offers are lost at servers that went dark together. */
test('a server that fails several VMs and answers none is named to all, until it answers or for some seconds', () => {
  const board = createLoadBoard()
  const intake = createLoadIntake()
  const exchange = (now: number): readonly ServerId[] => {
    noteDigest(board, 'control-1', takeDigest(intake, now), now)
    updateBoard(board, slots, places, now)
    return board.news.silent
  }
  const report = (vm: string, answered: boolean, now: number): void =>
    noteLoadReport(intake, vm, chennai, { servers: answered ? [[server, 1]] : [], busy: [], failed: answered ? [] : [server] }, now)
  report('vm-1', true, 0)
  assert.deepEqual(exchange(0), [])
  report('vm-1', false, 400)
  assert.deepEqual(exchange(400), [], 'one VM may have lost its own link')
  report('vm-2', false, 800)
  assert.deepEqual(exchange(800), [server])
  report('vm-3', true, 1200)
  report('vm-4', false, 1200)
  assert.deepEqual(exchange(1200), [], 'some VM has an answer')
  for (const vm of ['vm-1', 'vm-2']) report(vm, false, 1600)
  assert.deepEqual(exchange(1600), [server])
  assert.deepEqual(exchange(5000), [])
})

test('an entry VM tells of a failed server once, and not where it answered later', () => {
  const notes = createLoadNotes(0)
  noteFailedServer(notes, server)
  assert.deepEqual(takeLoadReport(notes, 500)?.failed, [server])
  noteFailedServer(notes, server)
  noteAhead(notes, server, 1)
  assert.deepEqual(takeLoadReport(notes, 1000), { servers: [[server, 1]], busy: [], failed: [] })
})

test('the log tells once which servers are left alone and tried again, and each version of the weights', () => {
  const quiet = { full: [], plans: [], silent: [], weights: { version: 4, servers: [] } }
  const loud = { ...quiet, silent: [server], weights: { version: 5, servers: [[server, 0.5] as const] } }
  assert.deepEqual(newsLines(quiet, loud), [
    { message: 'Servers stopped answering all VMs.', fields: { servers: 'i-1' } },
    { message: 'Server weights published.', fields: { version: 5, servers: 1, least: 0.5, most: 0.5 } }
  ])
  assert.deepEqual(newsLines(loud, loud), [])
  assert.deepEqual(newsLines(loud, quiet).map(({ message }) => message), ['Silent servers are tried again.'])
})

const swingSeconds = 36
const swing = 0.55

/**
 * Lets the demand of two regions rise and fall by turns, as their days do, and gives what the plan makes of it: the largest fill
 * of a region's slots after the first seconds, and the parts of objects that moved.
 */
function playSwing (seconds: number, meanSlots: number): { fill: number, moved: number } {
  const board = createLoadBoard()
  const size = 54
  const both: ServiceSlots = new Map([[desk, new Map([[kochi, size], [chennai, size / 3]])]])
  let before = new Map<RegionId, number>()
  let moved = 0
  let fill = 0
  for (let now = 0; now < seconds * 1000; now += 400) {
    const height = Math.sin(now / 1000 / swingSeconds * 2 * Math.PI) * swing
    const demand = new Map([[kochi, meanSlots * (1 - height)], [chennai, meanSlots * (1 + height)]])
    noteDigest(board, 'control-1', { servers: [], busy: [...demand].map(([region, busy]) => [desk, region, busy]), failed: [] }, now)
    updateBoard(board, both, places, now)
    const plan = new Map((board.news.plans[0]?.shares ?? []).map(([region, shares]) => [region, new Map(shares)]))
    const near = new Map([kochi, chennai].map(region => [region, plan.get(region)?.get(region) ?? 0]))
    for (const [region, share] of near) moved += Math.abs(share - (before.get(region) ?? share))
    before = near
    const inChennai = (demand.get(chennai) ?? 0) * (near.get(chennai) ?? 0) + (demand.get(kochi) ?? 0) * (1 - (near.get(kochi) ?? 0))
    if (now > 5000) fill = Math.max(fill, inChennai / (size / 3))
  }
  return { fill, moved }
}

/** Guards against this failure: one region's servers are over-full while another's are half idle, and objects are cold all day. */
test('a plan holds through the rise and fall of demand: no region is over-full, and few objects move', () => {
  const { fill, moved } = playSwing(swingSeconds * 2, 16)
  assert.ok(fill <= 0.85, `a region was ${fill} full`)
  assert.ok(moved < 0.8, `parts of ${moved} moved`)
})

/** Guards against this failure: in the first seconds of a day a small region is over-full. */
test('a demand that has just begun brings no objects home', () => {
  const board = createLoadBoard()
  const first = ((): number => { updateBoard(board, slots, places, 0); return nearShare(board) })()
  play(board, 5, 12, 8, 400)
  assert.ok(nearShare(board) <= first + 0.01, `${first} to ${nearShare(board)}`)
})

/** Guards against this failure: after all control VMs died, every object has another server. */
test('a leader that goes on from another one\'s word keeps its plan until the reports have come', () => {
  const board = createLoadBoard()
  const now = play(board, 5, 12, 20)
  const next = createLoadBoard()
  takeNews(next, board.news)
  for (let passed = 0; passed < 2400; passed += 400) updateBoard(next, slots, places, now + passed)
  assert.ok(Math.abs(nearShare(next) - nearShare(board)) < 0.01, `${nearShare(board)} to ${nearShare(next)}`)
})

test('two leaders never tell different weights under one version', () => {
  const [one, other] = [createLoadBoard(), createLoadBoard()]
  updateBoard(one, slots, places, 100_000)
  updateBoard(other, slots, places, 103_000)
  assert.notEqual(one.news.weights?.version, other.news.weights?.version)
})
