/** Route matching, splits, placement, and the bounds that hold over all VMs without their talking. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { brandId, makeRandom } from '@lynxcourse/base'
import type { FailureDomainId, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import {
  buildRouteTable, chooseEntries, createFleetServer, createWarmth, hasColdToken, isStalled, isWarmingVm, learnCutWork, learnWarmChance, matchRoute, noteAnswered, noteBad,
  noteFull, noteGood, noteHandled, noteReport, noteRequest, noteShared, noteSharedSilence, noteStart, noteStop, owedFor, pickService, placeRequest, slotShare, spendRepeat, takeColdToken
} from '@lynxcourse/routing'
import type { Fleet, FleetServer, PlaceRequest, RetryShare, ServerFacts } from '@lynxcourse/routing'
import type { Route } from '@lynxcourse/state'

const seed = 23
console.log(`seed ${seed}`)

const desk = brandId<ServiceId>('desk')
const kochi = brandId<RegionId>('kochi')
const mumbai = brandId<RegionId>('mumbai')

function route (name: string, parts: Partial<Route> = {}): Route {
  return {
    name,
    host: 'a.example',
    pathPrefix: `/${name}/`,
    isIdempotent: true,
    timeoutMs: 1000,
    aimMs: 250,
    rank: 0,
    service: desk,
    split: [],
    maxAttempts: 2,
    isSticky: true,
    homes: [],
    annotations: {},
    ...parts
  }
}

function server (id: string, region = kochi, parts: Partial<ServerFacts> = {}): FleetServer {
  const facts: ServerFacts = { id: brandId<ServerId>(id), service: desk, address: `${id}:80`, failureDomain: brandId<FailureDomainId>(`${region}-a`), region, bornAt: 0, slots: 3, isClosed: false, ...parts }
  return createFleetServer(facts, -Infinity)
}

function fleetOf (...servers: FleetServer[]): Fleet {
  return {
    setup: { self: 'vm-1', region: kochi, random: makeRandom(seed) },
    byId: new Map(servers.map(held => [held.facts.id, held])),
    byService: new Map([[desk, servers]]),
    warmth: createWarmth(),
    work: new Map([['read desk', { coldMs: 240, warmMs: 72, longestMs: 240 }]]),
    meanWork: new Map([[desk, 100]]),
    travel: new Map([[mumbai, 70]]),
    coldRates: new Map([[desk, 10]]),
    vms: ['vm-1'],
    shares: new Map(),
    sharedFill: new Map(),
    demandParts: new Map(),
    homeWarm: new Map(),
    meanSlowness: new Map(),
    concurrency: new Map()
  }
}

function request (parts: Partial<PlaceRequest> = {}): PlaceRequest {
  return { route: route('read'), service: desk, object: 'read|7', tried: new Set(), arrivedAt: 1000, deadline: 2200, ...parts }
}

function sentTo (fleet: Fleet, asked: PlaceRequest, now = 1000): string {
  const placed = placeRequest(fleet, asked, now)
  return placed.type === 'send' ? placed.server.facts.id : placed.reason
}

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

test('a server that handled the object goes before the one that hashing names; a near one before a far one', () => {
  const [first, second, far] = [server('first'), server('second'), server('far', mumbai)]
  const fleet = fleetOf(first, second, far)
  assert.notEqual(sentTo(fleet, request({ object: '' })), 'far')
  const named = sentTo(fleet, request())
  const other = named === 'first' ? second : first
  noteHandled(fleet.warmth, other.facts.id, 'read|7', 900)
  assert.equal(sentTo(fleet, request()), other.facts.id)
})

test('VMs that never talked warm the same server for an object', () => {
  const servers = ['a', 'b', 'c', 'd', 'e'].map(id => server(id))
  for (const object of ['read|1', 'read|2', 'read|3', 'read|4']) {
    const choices = [1, 2, 3].map(() => sentTo(fleetOf(...servers.map(held => server(held.facts.id))), request({ object })))
    assert.equal(new Set(choices).size, 1, object)
  }
})

test('homes bind, closed and tried servers get nothing', () => {
  const far = server('far', mumbai)
  const fleet = fleetOf(server('near'), far, server('closed', mumbai, { isClosed: true }))
  assert.equal(sentTo(fleet, request({ route: route('read', { homes: [mumbai] }) })), 'far')
  assert.equal(sentTo(fleet, request({ route: route('read', { homes: [mumbai] }), tried: new Set([far.facts.id]) })), 'noServer')
})

/*
 * Symptom: at twice the load all requests come late. Sequence: queues at servers grow to their limit; each
 * request waits for all before it. Cause: everything that would end before its time limit was let in.
 * Load pattern: all slots busy with three requests waiting at each server.
 */
test('with all queues long, the least urgent are refused at once and the most urgent still served', () => {
  const busy = server('busy')
  noteReport(busy, 6, 1000)
  const fleet = fleetOf(busy)
  const urgent = placeRequest(fleet, request({ route: route('read', { rank: 0 }) }), 1000)
  const idle = placeRequest(fleet, request({ route: route('read', { rank: 2 }) }), 1000)
  assert.equal(urgent.type, 'send')
  assert.equal(idle.type, 'refuse')
  assert.ok(idle.type === 'refuse' && idle.reason === 'busy' && idle.retryAfterMs >= 60)
})

test('what would end after its deadline is refused before anything is sent', () => {
  const placed = placeRequest(fleetOf(server('near')), request({ deadline: 1050 }), 1000)
  assert.ok(placed.type === 'refuse' && placed.reason === 'noTime')
})

/*
 * Symptom: requests pile up at a server that answers nothing. Sequence: a server goes dark with requests
 * in flight; until the first time-out nothing says so. Cause: only ends of requests were judged, not their silence.
 */
test('a server that holds a request far longer than expected gets no further ones', () => {
  const dark = server('dark')
  const fleet = fleetOf(dark, server('other', mumbai))
  noteStart(dark, 100, 100, 1000)
  assert.equal(isStalled(dark, 1400), false)
  assert.equal(isStalled(dark, 1600), true)
  assert.equal(sentTo(fleet, request({ object: '', arrivedAt: 1600, deadline: 2800 }), 1600), 'other')
})

test('a server that fails again and again is left alone for longer each time, and tried where all are suspect', () => {
  const bad = server('bad')
  noteBad(bad, false, 1000)
  assert.equal(bad.suspectUntil, -Infinity)
  noteBad(bad, false, 1000)
  assert.equal(bad.suspectUntil, 1400)
  noteBad(bad, false, 1400)
  assert.equal(bad.suspectUntil, 2200)
  assert.equal(sentTo(fleetOf(bad), request(), 1500), 'bad')
})

/*
 * Symptom: a server that has just started crashes. Sequence: it announces itself; every VM sends it a
 * share of its work at once. Cause: each VM kept to the bound alone and all together passed it.
 */
test('all VMs together keep to a cold server\'s bound in any second, also when they know different VMs', () => {
  const perSecond = 9.9
  const bound = perSecond * 1.5 + 5
  fc.assert(fc.property(fc.integer({ min: 1, max: 12 }), fc.integer({ min: 0, max: 2 }), (count, unknown) => {
    const names = Array.from({ length: count }, (_, place) => `vm-${place}`)
    const arrivals: number[] = []
    for (const self of names) {
      const known = names.filter((name, place) => name === self || place >= unknown)
      const cold = server('cold')
      if (!isWarmingVm(cold, self, known)) continue
      for (let now = 0; now < 3000; now += 5) {
        if (!hasColdToken(cold, perSecond, now)) continue
        takeColdToken(cold)
        arrivals.push(now)
      }
    }
    return arrivals.every(start => arrivals.filter(at => at >= start && at < start + 1000).length <= bound)
  }), { seed })
})

test('all VMs together keep to the retry budget in any window, whatever share of requests each gets', () => {
  const cfg = { ratio: 0.2, windowMs: 10_000, slack: 56 }
  fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: 60 }), { minLength: 1, maxLength: 12 }), rates => {
    const events: Array<{ at: number, repeat: boolean }> = []
    for (const rate of rates) {
      const share: RetryShare = new Map()
      for (let at = 0; at < 25_000; at += 250) {
        for (let sent = 0; sent < rate / 4; sent++) {
          noteRequest(share, cfg, desk, at)
          events.push({ at, repeat: false })
        }
        if (spendRepeat(share, cfg, desk, rates.length, at)) events.push({ at, repeat: true })
      }
    }
    for (let start = 0; start < 15_000; start += 1000) {
      const inWindow = events.filter(event => event.at >= start && event.at < start + cfg.windowMs)
      const requests = inWindow.filter(event => !event.repeat).length
      if (inWindow.length - requests > requests * cfg.ratio + cfg.slack) return false
    }
    return true
  }), { seed, numRuns: 20 })
})

test('look-ups name ready VMs of the caller\'s region that were heard of late, else those of all regions', () => {
  const entry = (name: string, region: RegionId, isReady = true, heardAt = 1000): Parameters<typeof chooseEntries>[0][number] =>
    ({ presence: { name, address: `${name}:80`, failureDomain: brandId<FailureDomainId>(`${region}-a`), region, isReady }, heardAt })
  const entries = [entry('k1', kochi), entry('k2', kochi, false), entry('k3', kochi, true, -5000), entry('m1', mumbai)]
  assert.deepEqual(chooseEntries(entries, kochi, 2600, 1500), ['k1:80'])
  assert.deepEqual(chooseEntries(entries, brandId<RegionId>('chennai'), 2600, 1500), ['k1:80', 'm1:80'])
})

test('an object is served in the region that the plan gives it, by all VMs of its callers\' region alike', () => {
  const servers = ['a', 'b', 'c'].map(id => server(id)).concat(['x', 'y', 'z'].map(id => server(id, mumbai)))
  const fleet = fleetOf(...servers)
  fleet.shares.set(desk, new Map([[kochi, 0], [mumbai, 1]]))
  for (const object of ['read|1', 'read|2', 'read|3']) assert.ok(['x', 'y', 'z'].includes(sentTo(fleet, request({ object }))))
  fleet.shares.set(desk, new Map([[kochi, 1], [mumbai, 0]]))
  for (const object of ['read|1', 'read|2', 'read|3']) assert.ok(['a', 'b', 'c'].includes(sentTo(fleet, request({ object }))))
})

/*
 * Symptom: requests wait behind the full queue of their object's server. Sequence: other VMs filled it; this one has
 * not sent there for seconds. Cause: it went by its own last report, which was old. Load pattern: one home with twice its
 * slots ahead, an idle server beside it.
 */
test('a server that all VMs together know to be full gets nothing while one beside it is free', () => {
  const fleet = fleetOf(server('a'), server('b'))
  const home = sentTo(fleet, request())
  const held = fleet.byId.get(brandId<ServerId>(home)) as FleetServer
  noteShared(held, 9, 900)
  assert.notEqual(sentTo(fleet, request()), home)
  assert.equal(sentTo(fleet, request({ arrivedAt: 4000, deadline: 5200 }), 4000), home)
})

/*
 * Symptom: a fleet whose warm work would fill 60 % of its slots answers everything late for half a minute. Sequence: at
 * the start all objects are cold and queues grow; requests go wherever a slot is free, find the object cold there and
 * push another one out. Cause: leaving the home looked cheaper to each request than waiting there. Load pattern: all
 * slots of the service busy by what all VMs saw, the home busier than the rest.
 */
test('in a full fleet objects keep to their homes', () => {
  const fleet = fleetOf(...['a', 'b', 'c', 'd'].map(id => server(id)))
  const home = sentTo(fleet, request())
  noteShared(fleet.byId.get(brandId<ServerId>(home)) as FleetServer, 12, 950)
  assert.notEqual(sentTo(fleet, request()), home)
  fleet.sharedFill.set(desk, 1.2)
  assert.equal(sentTo(fleet, request()), home)
})

/*
 * Symptom: a VM refuses every request for want of a server while other regions have some. Sequence: it starts in a region
 * whose servers are gone, in a full fleet, and has not heard of a plan yet. Cause: without a plan no region was an object's
 * own, so no server was its home, and in a full fleet only homes may serve.
 */
test('without a plan and without near servers, objects have a home in another region', () => {
  const fleet = fleetOf(server('a', mumbai), server('b', mumbai))
  fleet.sharedFill.set(desk, 1.2)
  assert.ok(['a', 'b'].includes(sentTo(fleet, request())))
})

test('a server that answers no VM gets nothing while others are open, until it answers this one', () => {
  const fleet = fleetOf(server('a'), server('b'))
  const home = sentTo(fleet, request())
  const held = fleet.byId.get(brandId<ServerId>(home)) as FleetServer
  noteSharedSilence(held, true, 900)
  assert.notEqual(sentTo(fleet, request()), home)
  noteGood(held, 1, 1000)
  assert.equal(sentTo(fleet, request()), home)
})

/*
 * Symptom: where all slots are busy, objects turn cold at one server after the other. Sequence: an object's server sheds a
 * request, is left alone for 40 ms, and the next request for the object is placed at another one. Cause: a pause for lack of
 * room took the server's objects away. Load pattern: a full fleet whose servers shed by turns.
 */
test('in a full fleet an object stays with its server while that has no room for a moment', () => {
  const servers = ['a', 'b', 'c', 'd'].map(name => server(name))
  const fleet = fleetOf(...servers)
  fleet.sharedFill.set(desk, 1)
  const first = placeRequest(fleet, request({ object: 'read|7' }), 1000)
  assert.ok(first.type === 'send')
  noteFull(first.server, 1000)
  const meanwhile = placeRequest(fleet, request({ object: 'read|7' }), 1010)
  assert.ok(meanwhile.type === 'refuse' && meanwhile.reason === 'busy', JSON.stringify(meanwhile.type))
  const after = placeRequest(fleet, request({ object: 'read|7' }), 1060)
  assert.ok(after.type === 'send' && after.server === first.server)
})

/*
 * Symptom: servers are left alone though they answer. Sequence: objects move and are cold where they arrive; their requests run
 * for three times what is expected of warm ones. Cause: that was taken for a stall, the server's other objects moved in turn.
 */
test('a request for a cold object marks no stall, least of all while its server answers others', () => {
  const held = server('held')
  noteStart(held, 100, 300, 1000)
  assert.equal(isStalled(held, 1000 + 300 * 1.3 + 240), false)
  assert.equal(isStalled(held, 1000 + 300 * 1.3 + 260), true)
  noteAnswered(held, 1600)
  assert.equal(isStalled(held, 1660), false)
  assert.equal(isStalled(held, 1000 + 300 * 3 + 260), true)
})

/*
 * Symptom: callers of a failure domain with one VM are refused twice as often as others. Sequence: load is at its worst, each VM's
 * bound is an equal share of the slots. Cause: equal shares for unequal demand. Load pattern: one VM of four has half of the demand.
 */
test('a VM\'s share of the slots follows its part of the demand, within bounds', () => {
  const fleet = { ...fleetOf(server('a'), server('b'), server('c'), server('d')), vms: ['vm-1', 'vm-2', 'vm-3', 'vm-4'] }
  assert.equal(slotShare(fleet, desk), 3)
  fleet.demandParts.set(desk, 0.5)
  assert.equal(slotShare(fleet, desk), 6)
  fleet.demandParts.set(desk, 0)
  assert.equal(slotShare(fleet, desk), 1.5)
})

test('work that is cut is at least as long as it lasted, and lengthens what servers are doubted by', () => {
  const times = { coldMs: 1000, warmMs: 300, longestMs: 1000 }
  for (let n = 0; n < 10; n++) learnCutWork(times, 1200)
  assert.ok(times.longestMs > 1190 && times.longestMs <= 1200, String(times.longestMs))
  assert.equal(times.coldMs, 1000, 'the expected time is learned from answers alone')
  learnCutWork(times, 400)
  assert.ok(times.longestMs > 1190, 'a send that was cut soon tells nothing')
})

test('a server owes an answer from the first send that got none, requests given up included', () => {
  const known = server('s1')
  assert.equal(owedFor(known, 5000), 0)
  noteStop(known, noteStart(known, 100, 300, 1000))
  assert.equal(owedFor(known, 1800), 800)
  const second = noteStart(known, 100, 300, 2000)
  assert.equal(owedFor(known, 2500), 1500)
  noteAnswered(known, 2500)
  noteStop(known, second)
  assert.equal(owedFor(known, 9000), 0)
})

/*
 * Symptom: objects are cold again and again while servers come and go. Sequence: a server joins or gets a new weight and becomes the
 * home of an object; its former home is warm, has a little more to do, and requests go to the new one. Cause: the new home counted
 * as warm as homes usually are, though nobody had sent it the object yet.
 */
test('an object stays with the server that is warm for it for as long as its new home may be cold', () => {
  const fleet = fleetOf(server('a'), server('b'))
  const newHome = sentTo(fleet, request())
  for (let n = 0; n < 100; n++) learnWarmChance(fleet, request(), 'home', true)
  const former = [...fleet.byId.values()].find(({ facts }) => facts.id !== newHome) as FleetServer
  noteHandled(fleet.warmth, former.facts.id, 'read|7', 900)
  noteReport(former, 2, 950)
  assert.equal(sentTo(fleet, request()), former.facts.id)
  noteReport(former, 12, 950)
  assert.equal(sentTo(fleet, request()), newHome, 'where the former one is full, the object moves')
})

/*
 * Symptom: a route whose timeout is hardly longer than its cold work fails at its busiest. Sequence: an object's home has a queue; the
 * request goes to a server that is cold for the object, is cut by its timeout, and its caller has nothing. Cause: cold work
 * counted by its time alone, although a late answer is worth something and none is worth nothing.
 */
test('a request waits at its warm home rather than risk to be cut at a cold server', () => {
  const fleet = fleetOf(...['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map(id => server(id)))
  const home = sentTo(fleet, request())
  noteHandled(fleet.warmth, brandId<ServerId>(home), 'read|7', 900)
  noteReport(fleet.byId.get(brandId<ServerId>(home)) as FleetServer, 7, 950)
  assert.notEqual(sentTo(fleet, request({ deadline: 2200 })), home, 'with time for cold work')
  assert.equal(sentTo(fleet, request({ deadline: 1239 })), home)
})
