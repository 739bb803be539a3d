/** The leader's division of the limits that servers name, and its way to the entry VMs. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { RegionId, ServerId } from '@lynxcourse/base'
import { computeMaxSharers, limitTtlMs, noStatements } from '@lynxcourse/limits'
import { addLoadReport, applyDigest, applyLoadUpdate, createLoadAggregate, createLoadBoard, createLoadObservations, flushDigest, flushLoadReport, listLimitDemand, omitKnownWeights, recordServerDemand, recordAnswerStatements, selectOwnShares, storeLoadUpdate, updateBoard } from '@lynxcourse/placement'
import type { EntryState, KnownServers, LimitUpdate, LoadBoard, ServiceSlots, SharingVm } from '@lynxcourse/placement'
import { createTestFleet, desk, kochi, mumbai, server } from './support/fleet.js'

const limited = brandId<ServerId>('s1')
const slots: ServiceSlots = new Map([[desk, new Map([[kochi, 30], [mumbai, 30]])]])
const knownServers: KnownServers = new Map([[limited, { service: desk, region: kochi, slots: 3, isSettled: true }]])
const vms: readonly SharingVm[] = [{ name: 'vm-1', region: kochi }, { name: 'vm-2', region: kochi }, { name: 'vm-3', region: mumbai }]

function createBoard (perSecond: number | null, sharers = vms, now = 0): LoadBoard {
  const board = createLoadBoard()
  applyDigest(board, 'control-1', { servers: [], busy: [], failed: [], limits: [[limited, perSecond]] }, now)
  updateBoard(board, slots, knownServers, sharers, now)
  return board
}

function getLimit (board: LoadBoard): LimitUpdate | undefined {
  return board.news.limits?.[0]
}

function sumShares (limit: LimitUpdate | undefined): number {
  return (limit?.shares ?? []).reduce((sum, [, share]) => sum + share, 0)
}

/** Guards against shares that VMs of other regions hold and don't use. */
test('the VMs whose callers have the requests for a server get most of its limit', () => {
  const shares = new Map(getLimit(createBoard(5))?.shares)
  assert.equal(shares.get('vm-1'), shares.get('vm-2'))
  assert.ok((shares.get('vm-1') ?? 0) >= 2 * (shares.get('vm-3') ?? 0))
})

/** Guards against a server in need that gets nothing once its region's callers have moved. */
test('shares follow callers that move to another region', () => {
  const board = createBoard(5)
  for (let now = 400; now < 60_000; now += 400) {
    applyDigest(board, 'control-1', { servers: [], busy: [[desk, mumbai, 40]], failed: [], limits: [[limited, 5]] }, now)
    updateBoard(board, slots, knownServers, vms, now)
  }
  const shares = new Map(getLimit(board)?.shares)
  assert.ok((shares.get('vm-3') ?? 0) > 0.9, `${shares.get('vm-3')}`)
})

/** Guards against a VM that sends its requests elsewhere although the limit has room for all. */
test('VMs share a limit by the requests that they have for the server, and each VM has a small share', () => {
  const board = createBoard(20)
  const limitDemand = [[limited, 'vm-1', 6], [limited, 'vm-2', 2]] as const
  applyDigest(board, 'control-1', { servers: [], busy: [], failed: [], limits: [[limited, 20]], limitDemand }, 400)
  updateBoard(board, slots, knownServers, vms, 400)
  const shares = new Map(getLimit(board)?.shares)
  assert.ok(Math.abs((shares.get('vm-1') ?? 0) / (shares.get('vm-2') ?? 1) - 3) < 0.05)
  assert.ok((shares.get('vm-3') ?? 0) > 0.02 && (shares.get('vm-3') ?? 0) < 0.1, `${shares.get('vm-3')}`)
})

test('shares add up to at most one, and few VMs share a small limit', () => {
  for (const perSecond of [0, 0.3, 1, 5.4, 1000]) {
    const many = Array.from({ length: 185 }, (_, index): SharingVm => ({ name: `vm-${index}`, region: index % 2 === 0 ? kochi : mumbai }))
    const limit = getLimit(createBoard(perSecond, many))
    assert.ok(sumShares(limit) <= 1 && sumShares(limit) > 0.85, `${sumShares(limit)}`)
    assert.ok((limit?.shares.length ?? 0) <= computeMaxSharers(perSecond))
  }
})

test('the VMs of other regions share the limit if the server\'s region has none', () => {
  assert.deepEqual(getLimit(createBoard(5, [{ name: 'vm-3', region: mumbai }]))?.shares, [['vm-3', 1]])
  assert.equal(getLimit(createBoard(5, [])), undefined)
})

test('a limit that ended is published for a while, and that of a server that is gone is not', () => {
  const board = createBoard(null)
  assert.deepEqual(getLimit(board), { server: limited, perSecond: null, shares: [] })
  updateBoard(board, slots, knownServers, vms, limitTtlMs + 1)
  assert.equal(board.news.limits, undefined)
  const other = createBoard(5)
  updateBoard(other, slots, new Map(), vms, 1)
  assert.equal(other.news.limits, undefined)
})

/** Guards against limits that are lost with the leader, or with the weights that a VM has. */
test('the next leader knows the limits, and a VM gets its own shares of them', () => {
  const board = createBoard(5)
  const next = createLoadBoard()
  storeLoadUpdate(next, board.news, 100)
  updateBoard(next, slots, knownServers, vms, 100)
  assert.equal(getLimit(next)?.perSecond, 5)
  const { limits } = omitKnownWeights(board.news, board.news.weights?.version ?? 0)
  const [own] = selectOwnShares(limits ?? [], 'vm-2')
  assert.deepEqual(own?.shares, getLimit(board)?.shares.filter(([vm]) => vm === 'vm-2'))
  assert.equal(own?.shares.length, 1)
})

/** Guards against a VM that is cut off and uses its share together with those to whom the leader gave it. */
test('the share of a VM that is not heard is kept for as long as the VM may use it', () => {
  const board = createBoard(20)
  const others = vms.filter(({ name }) => name !== 'vm-1')
  const own = new Map(getLimit(board)?.shares).get('vm-1') ?? 0
  const playUntil = (until: number, heard: readonly SharingVm[]): number => {
    for (let now = board.plannedAt + 400; now <= until; now += 400) {
      applyDigest(board, 'control-1', { servers: [], busy: [], failed: [], limits: [[limited, 20]], limitDemand: [[limited, 'vm-2', 6]] }, now)
      updateBoard(board, slots, knownServers, heard, now)
    }
    const limit = getLimit(board)
    assert.ok(sumShares(limit) <= 1 && sumShares(limit) > 0.98, `${sumShares(limit)}`)
    return new Map(limit?.shares).get('vm-1') ?? 0
  }
  assert.equal(playUntil(8000, others), own)
  assert.equal(playUntil(9000, others), own / 2)
  assert.equal(playUntil(63_000, others), own / 2)
  assert.equal(playUntil(64_000, others), 0)
  assert.ok(playUntil(65_000, vms) > 0)
})

function createEntry (): EntryState {
  return { fleet: createTestFleet(server('s1'), server('s2')), load: createLoadObservations(0), retries: new Map(), waitingForCapacity: new Map() }
}

/** Guards against VMs that learn of a limit, or of its end, only by their own requests. */
test('what one VM learns of a limit reaches the others, and so does its end', () => {
  const [first, second] = [createEntry(), createEntry()]
  const board = createLoadBoard()
  const aggregate = createLoadAggregate()
  const exchange = (now: number): void => {
    const report = flushLoadReport(first.load, now)
    assert.ok(report !== undefined)
    addLoadReport(aggregate, 'vm-1', kochi, report, now)
    applyDigest(board, 'control-1', flushDigest(aggregate, now), now)
    updateBoard(board, slots, knownServers, vms, now)
    applyLoadUpdate(second, board.news, kochi, now)
  }
  const getServer = ({ fleet }: EntryState): ReturnType<typeof server> => fleet.byId.get(limited) as ReturnType<typeof server>
  recordAnswerStatements(first, getServer(first), { ...noStatements, limit: { type: 'limited', perSecond: 5 } }, 500)
  recordServerDemand(getServer(first), 500)
  assert.ok((listLimitDemand(first.fleet, 500)[0]?.[1] ?? 0) > 0, 'the demand for the server is reported')
  exchange(1000)
  assert.equal(getServer(second).notice.limit.perSecond, 5)
  recordAnswerStatements(first, getServer(first), noStatements, 5500)
  exchange(6000)
  assert.equal(getServer(second).notice.limit.perSecond, undefined)
  assert.equal(flushLoadReport(first.load, 7000)?.limits, undefined, 'nothing is reported once there is no limit')
})

test('a limited server does not attract objects by its low utilization', () => {
  const region: RegionId = kochi
  const busy = brandId<ServerId>('s2')
  const known: KnownServers = new Map([[limited, { service: desk, region, slots: 3, isSettled: true }], [busy, { service: desk, region, slots: 3, isSettled: true }]])
  const board = createLoadBoard()
  for (let now = 0; now < 20_000; now += 400) {
    applyDigest(board, 'control-1', { servers: [[limited, 0], [busy, 4]], busy: [], failed: [], limits: [[limited, 5]] }, now)
    updateBoard(board, slots, known, vms, now)
  }
  assert.equal(board.weights.get(limited) ?? 1, 1)
})
