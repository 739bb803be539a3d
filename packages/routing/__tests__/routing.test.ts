/** Address blocks, lookups, server policies, admission and the flow of once-only requests. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { brandId, isLynxError, loadChart, createRandom } from '@lynxcourse/base'
import type { RegionId, ServerId, ShiftId, VmId } from '@lynxcourse/base'
import {
  continueAfterAttempt, continueAfterClaim, continueAfterRecord, continueAfterSlot, buildBlockTable, buildLookupIndex, canCompleteInTime, createBackends, createRetryBudget,
  createOnceFlow, createCompletionRate, createDeadlineQueue, createRouter, defaultObservation, dequeue, earnRetry, enqueue, beginAttempt, findUnservable,
  isUsable, getLatestResendTime, endAttempt, selectEntryVms, createServerPolicy, maxRetryTokens, recordAttemptEnd, recordCompletion, recordReportedLoad, recordAttemptStart, countOpenSlots,
  orderRegions, parseIpv4, pauseCompletionRate, refreshBackend, findRegion, removeItem, getRetryAfterMs, routeRequest, setBackends, spendRetry,
  startOnceFlow
} from '@lynxcourse/routing'
import type { Backend, CallerBlock, EntryVm, OnceEffect, PolicyContext } from '@lynxcourse/routing'

const seed = 23
const run = { seed, numRuns: 200 }
console.log(`seed ${seed}`)

const [kochi, chennai, mumbai] = ['kochi', 'chennai', 'mumbai'].map(name => brandId<RegionId>(name)) as [RegionId, RegionId, RegionId]

test('the table finds the narrowest block, as a linear search does', () => {
  const block = fc.record({ base: fc.nat({ max: 2 ** 32 - 1 }), bits: fc.integer({ min: 1, max: 32 }), region: fc.nat(3) })
  fc.assert(fc.property(fc.array(block, { maxLength: 30 }), fc.array(fc.nat({ max: 2 ** 32 - 1 }), { maxLength: 30 }), (list, addresses) => {
    const formatAddress = (address: number): string => [24, 16, 8, 0].map(shift => (address >>> shift) & 255).join('.')
    const seen = new Set<string>()
    const uniqueBlocks = list.map(({ base, bits, region }) => ({ start: Math.floor(base / 2 ** (32 - bits)) * 2 ** (32 - bits), bits, region }))
      .filter(({ start, bits }) => !seen.has(`${start}/${bits}`) && seen.add(`${start}/${bits}`))
    const blocks: CallerBlock[] = uniqueBlocks.map(({ start, bits, region }) => ({ cidr: `${formatAddress(start)}/${bits}`, region: brandId(`r${region}`) }))
    const table = buildBlockTable(blocks)
    for (const address of [...addresses, ...uniqueBlocks.map(unique => unique.start), ...uniqueBlocks.map(unique => Math.max(0, unique.start - 1))]) {
      const matches = uniqueBlocks.filter(({ start, bits }) => address >= start && address < start + 2 ** (32 - bits)).sort((a, b) => b.bits - a.bits)
      const expected = matches[0] === undefined ? undefined : `r${matches[0].region}`
      assert.equal(findRegion(table, address), expected)
    }
  }), run)
})

test('an invalid block is rejected with its index', () => {
  assert.throws(() => buildBlockTable([{ cidr: '10.0.0.0/33', region: kochi }]), err => isLynxError(err, 'badSettings') && err.field === 'callerBlocks.0.cidr')
  assert.equal(parseIpv4('::ffff:10.0.0.1'), 10 * 2 ** 24 + 1)
  assert.equal(parseIpv4('::1'), undefined)
})

const orderInput = { service: brandId<never>('s'), places: [kochi, chennai, mumbai], callerRegion: mumbai, drained: new Set<RegionId>(), shifts: [], callerHash: 5, latencies: new Map([['mumbai>chennai', 10]]) }

test('a caller\'s own region is first, the others follow by latency, and drained regions are left out', () => {
  const getOrder = (input: object): string[] => orderRegions({ ...orderInput, ...input }).map(candidate => candidate.region)
  assert.deepEqual(getOrder({}), ['mumbai', 'chennai', 'kochi'])
  assert.deepEqual(getOrder({ drained: new Set([mumbai]) }), ['chennai', 'kochi'])
})

test('a shift moves its percentage of callers, and keeps callers that it moved as the percentage grows', () => {
  const createShift = (percent: number) => ({ id: brandId<ShiftId>('m'), service: orderInput.service, from: mumbai, to: kochi, percent })
  const getShiftedHashes = (percent: number): Set<number> => new Set(Array.from({ length: 512 }, (_, hash) => hash).filter(hash =>
    orderRegions({ ...orderInput, callerHash: hash, shifts: [createShift(percent)] })[0]?.region === kochi))
  assert.equal(getShiftedHashes(0).size, 0)
  assert.equal(getShiftedHashes(50).size, 256)
  assert.equal(getShiftedHashes(100).size, 512)
  for (const hash of getShiftedHashes(30)) assert.ok(getShiftedHashes(40).has(hash))
})

test('look-ups list the first region\'s VMs first and suspected VMs last', () => {
  const entryVm = (name: string, region: RegionId, suspected = false): EntryVm => ({ vm: brandId(name), region, failureDomain: brandId('d'), http: '127.0.0.1:1', suspected })
  const index = buildLookupIndex([entryVm('k1', kochi), entryVm('m1', mumbai, true), entryVm('m2', mumbai), entryVm('c1', chennai)])
  const candidates = orderRegions(orderInput)
  assert.deepEqual(selectEntryVms(index, candidates, 7).map(vm => vm.vm), ['m2', 'c1', 'k1', 'm1'])
})

function backend (name: string, fields: Partial<Backend> = {}): Backend {
  return { id: brandId(name), service: brandId('s'), region: kochi, failureDomain: brandId('d'), address: '127.0.0.1:1', incarnation: 1, slots: 3, maxConnections: 330, leaving: false, starting: false, ...fields }
}

const chart = loadChart('server')

test('slot leases: each slot belongs to exactly one VM of the region', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 12 }), fc.integer({ min: 1, max: 6 }), fc.string({ minLength: 1 }), (vms, slots, name) => {
    const peers = Array.from({ length: vms }, (_, index) => brandId<VmId>(`vm${index}`))
    const backends = createBackends(defaultObservation, chart)
    setBackends(backends, [backend(name, { slots })], 0)
    const observed = backends.byId.get(brandId<ServerId>(name))
    if (observed === undefined) throw new Error('no server')
    for (const policy of ['slots', 'owner'] as const) {
      const sum: number = peers.reduce((total: number, self): number => {
        const ctx: PolicyContext = { cfg: { ...defaultObservation, slowStartMs: 0.001 }, self, peers, random: createRandom(1), now: 1000 }
        return total + createServerPolicy(policy).countUsableSlots(observed, ctx)
      }, 0)
      assert.equal(sum, slots, policy)
    }
  }), run)
})

test('a VM of another region may use slots under every policy', () => {
  // Guards against this failure: callers of a drained region are rejected although other regions have free slots.
  const backends = createBackends(defaultObservation, chart)
  setBackends(backends, [backend('a')], 0)
  const observed = backends.byId.get(brandId<ServerId>('a'))
  if (observed === undefined) throw new Error('no server')
  const ctx: PolicyContext = { cfg: defaultObservation, self: brandId('far'), peers: [brandId<VmId>('near')], random: createRandom(1), now: 60_000 }
  for (const policy of ['alone', 'slots', 'owner'] as const) assert.ok(createServerPolicy(policy).countUsableSlots(observed, ctx) > 0, policy)
})

test('a failing server is ejected, for longer each time, and returns with a slow start', () => {
  const backends = createBackends(defaultObservation, chart)
  setBackends(backends, [backend('a')], 0)
  const observed = backends.byId.get(brandId<ServerId>('a'))
  if (observed === undefined) throw new Error('no server')
  const fail = (now: number): void => {
    for (let n = 0; n < defaultObservation.ejectAfter; n++) {
      recordAttemptStart(observed)
      recordAttemptEnd(backends, observed, 'failed', 1, now)
    }
  }
  fail(10_000)
  assert.equal(isUsable(observed, 10_001), false)
  refreshBackend(backends, observed, 10_000 + defaultObservation.ejectMs)
  assert.equal(isUsable(observed, 12_000), true)
  assert.equal(countOpenSlots(defaultObservation, observed, 12_000), 1, 'slow start')
  fail(12_000)
  refreshBackend(backends, observed, 12_000 + defaultObservation.ejectMs)
  assert.equal(isUsable(observed, 14_000), false, 'the second ejection lasts twice as long')
})

test('a server that shed is paused for a short time, and invalid load reports are ignored', () => {
  const backends = createBackends(defaultObservation, chart)
  setBackends(backends, [backend('a')], 0)
  const observed = backends.byId.get(brandId<ServerId>('a'))
  if (observed === undefined) throw new Error('no server')
  recordAttemptStart(observed)
  recordAttemptEnd(backends, observed, 'shed', 1, 100)
  assert.equal(isUsable(observed, 101), false)
  assert.equal(isUsable(observed, 100 + defaultObservation.shedPauseMs), true)
  for (const load of [NaN, -1, Infinity, 1e9]) recordReportedLoad(observed, load, 100)
  assert.equal(observed.reportedLoad, 0)
})

test('a server gets no more requests than it has slots, none after it is leaving, and none beyond a limit', () => {
  const choices = fc.array(fc.record({ send: fc.boolean(), leave: fc.nat(3), pick: fc.nat(20), open: fc.boolean() }), { maxLength: 80 })
  fc.assert(fc.property(choices, list => {
    const router = createRouter({ self: brandId('v'), region: kochi, policy: createServerPolicy('alone'), observation: defaultObservation, chart, random: createRandom(3), latencies: new Map() })
    router.peers = new Map([[kochi, [brandId<VmId>('v')]]])
    const leavingIds = new Set<string>()
    const inFlight: Array<Parameters<typeof endAttempt>[1]> = []
    let now = 100_000
    for (const { send, leave, pick, open: isOpen } of list) {
      now += 10
      if (leave === 0) leavingIds.add(`s${pick % 4}`)
      setBackends(router.backends, [0, 1, 2, 3].map(n => backend(`s${n}`, { leaving: leavingIds.has(`s${n}`) })), now - 60_000)
      if (send) {
        const gate = { hasCapacity: () => isOpen, getResources: () => [] }
        const decision = routeRequest(router, { service: brandId('s'), places: [{ region: kochi, shift: undefined }], triedServers: new Set() }, gate, now)
        if (decision.type === 'wait') continue
        assert.ok(isOpen)
        assert.ok(!leavingIds.has(decision.observed.backend.id))
        assert.ok(decision.observed.inFlight < 3)
        beginAttempt(decision.observed)
        inFlight.push(decision.observed)
      } else {
        const [observed] = inFlight.splice(pick % Math.max(1, inFlight.length), 1)
        if (observed !== undefined) endAttempt(router, observed, 'answered', 5, now)
      }
    }
  }), run)
})

test('the queue returns items by deadline, keeps its limit, and allows any item to be removed', () => {
  fc.assert(fc.property(fc.array(fc.nat(100), { maxLength: 40 }), fc.nat(20), (deadlines, removedIndex) => {
    const queue = createDeadlineQueue<{ deadline: number, order: number }>(25)
    const items = deadlines.map((deadline, order) => ({ deadline, order })).filter(item => enqueue(queue, item))
    assert.ok(items.length <= 25)
    const removed = items[removedIndex]
    if (removed !== undefined) assert.ok(removeItem(queue, removed))
    const expected = items.filter(item => item !== removed).sort((a, b) => a.deadline - b.deadline || a.order - b.order)
    assert.deepEqual(expected.map(() => dequeue(queue)), expected)
    assert.equal(dequeue(queue), undefined)
  }), run)
})

test('retries stay within their fraction of requests', () => {
  const budget = createRetryBudget()
  let spent = 0
  for (let n = 0; n < 1000; n++) {
    earnRetry(budget, 0.1)
    while (spendRetry(budget)) spent += 1
  }
  assert.ok(spent <= 100 + maxRetryTokens, `${spent}`)
})

test('a request that cannot complete before its deadline is rejected with a retry delay', () => {
  const input = { deadline: 1000, slots: 3, queueLength: 0, serviceMs: 100, overheadMs: 50, completionIntervalMs: 0 }
  assert.equal(canCompleteInTime(input, 800), true)
  assert.equal(canCompleteInTime(input, 900), false)
  assert.equal(canCompleteInTime({ ...input, queueLength: 30 }, 0), false)
  assert.equal(canCompleteInTime({ ...input, slots: 0 }, 0), false)
  assert.equal(getRetryAfterMs({ ...input, queueLength: 30 }), 1000)
  assert.equal(canCompleteInTime({ ...input, slots: 60, queueLength: 30, completionIntervalMs: 40 }, 0), false, 'slots that other VMs use')
})

test('a request that was shed is not sent again so late that its deadline would abort it in transit', () => {
  // Guards against this failure: a caller receives an unknown outcome although every server stated that it did not start the request.
  assert.equal(getLatestResendTime(1000, 1300), 1225)
  assert.equal(getLatestResendTime(1000, 1040), 1030, 'a short deadline still allows another send')
  assert.equal(getLatestResendTime(1000, 6000), 5900, 'a long deadline is reduced by at most the time of a response')
})

test('exactly the waiting requests that cannot complete in time at the present rate are found', () => {
  // Guards against this failure: callers are rejected only shortly before their deadlines.
  const pace = createCompletionRate()
  for (let now = 0; now <= 1000; now += 10) recordCompletion(pace, now)
  assert.equal(pace.intervalMs, 10)
  const items = Array.from({ length: 50 }, (_, order) => ({ deadline: 1400, order }))
  const unservable = findUnservable(items, pace, 100, 1000)
  assert.deepEqual(unservable.map(item => item.order), Array.from({ length: 19 }, (_, n) => n + 31))
  pauseCompletionRate(pace)
  recordCompletion(pace, 9000)
  assert.equal(pace.intervalMs, 10, 'idle time is not an interval between completions')
})

test('once-only flow: every path ends, nothing is sent without a claim, and not-run is answered only with proof', () => {
  const attempt = loadChart('attempt')
  fc.assert(fc.property(fc.infiniteStream(fc.nat(7)), choices => {
    const next = (): number => choices.next().value as number
    const flow = createOnceFlow(attempt)
    let effect: OnceEffect = startOnceFlow(flow, next() > 1)
    let isClaimed = false
    let ran: 'no' | 'maybe' | 'yes' = 'no'
    let isRecorded = false
    for (let count = 0; effect.type !== 'answer'; count++) {
      assert.ok(count < 60, 'the flow ends')
      switch (effect.type) {
        case 'claim': {
          const event = (['granted', 'granted', 'taken', 'refused', 'noAnswer'] as const)[next() % 5] ?? 'granted'
          isClaimed = event === 'granted'
          effect = continueAfterClaim(flow, event)
          break
        }
        case 'getSlot': effect = continueAfterSlot(flow, next() === 0 ? 'none' : undefined); break
        case 'send': {
          assert.ok(isClaimed)
          assert.equal(ran, 'no')
          const event = (['answered', 'lost', 'shed', 'notSent'] as const)[next() % 4] ?? 'lost'
          if (event === 'answered') ran = 'yes'
          if (event === 'lost') ran = 'maybe'
          effect = continueAfterAttempt(flow, event, next() > 2)
          break
        }
        case 'recordNotRun':
          isRecorded = next() > 2
          effect = continueAfterRecord(isRecorded, effect.reason)
          break
      }
    }
    if (effect.callerOutcome === 'notRun') assert.ok(ran === 'no' && isRecorded)
    if (ran === 'yes') assert.equal(effect.callerOutcome, 'done')
    if (ran === 'maybe') assert.deepEqual([effect.callerOutcome, effect.record], ['unknown', 'unknown'])
  }), run)
})
