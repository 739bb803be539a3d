/** Routing among servers of a service that name a limit for the requests of all VMs together. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId, createRandom, loadChart } from '@lynxcourse/base'
import type { RegionId, ServerId, ServiceId, VmId } from '@lynxcourse/base'
import { hasLimitToken, recordNamedLimit } from '@lynxcourse/limits'
import { beginAttempt, canCompleteInTime, createRouter, createServerPolicy, defaultObservation, endAttempt, estimateRequestDelay, getRetryAfterMs, routeRequest, setBackends } from '@lynxcourse/routing'
import type { AdmissionInput, Backend, LimitGate, ObservedServer, RouteDecision, RouteRequest, Router } from '@lynxcourse/routing'

const [kochi, mumbai] = ['kochi', 'mumbai'].map(name => brandId<RegionId>(name)) as [RegionId, RegionId]
const offers = brandId<ServiceId>('offers')
const gate: LimitGate = { hasCapacity: () => true, getResources: () => [] }
const request: RouteRequest = { service: offers, places: [{ region: kochi, shift: undefined }], triedServers: new Set() }
const admission: AdmissionInput = { deadline: 1000, slots: 3, queueLength: 0, serviceMs: 20, completionIntervalMs: 0, overheadMs: 0 }
const settledMs = 10_000

function backend (id: string): Backend {
  return { id: brandId<ServerId>(id), service: offers, region: kochi, failureDomain: brandId('kochi-a'), address: `${id}:80`, incarnation: 1, slots: 3, maxConnections: 100, leaving: false, starting: false }
}

function createTestRouter (self: string, ...ids: string[]): Router {
  const router = createRouter({ self: brandId<VmId>(self), region: kochi, policy: createServerPolicy('alone'), observation: defaultObservation, chart: loadChart('server'), random: createRandom(3), latencies: new Map() })
  router.peers = new Map([[kochi, [brandId<VmId>('vm-1'), brandId<VmId>('vm-2')]], [mumbai, [brandId<VmId>('vm-3')]]])
  setBackends(router.backends, ids.map(backend), 0)
  return router
}

function limit (router: Router, id: string, perSecond: number): ObservedServer {
  const observed = router.backends.byId.get(brandId<ServerId>(id)) as ObservedServer
  recordNamedLimit(observed.notice.limit, { type: 'limited', perSecond }, settledMs)
  hasLimitToken(observed.notice.limit, 1, settledMs)
  observed.notice.limit.tokens = 0
  return observed
}

/** Routes a request every 20 ms for some time, each answered at once; returns the decisions. */
function route (router: Router, forMs: number): RouteDecision[] {
  const decisions: RouteDecision[] = []
  for (let now = settledMs; now < settledMs + forMs; now += 20) {
    const decision = routeRequest(router, request, gate, now)
    decisions.push(decision)
    if (decision.type === 'wait') continue
    beginAttempt(decision.observed)
    endAttempt(router, decision.observed, 'answered', 5, now)
  }
  return decisions
}

function countSends (decisions: readonly RouteDecision[], id: string): number {
  return decisions.filter(decision => decision.type === 'send' && decision.observed.backend.id === id).length
}

test('the VMs of all regions together send a limited server what it takes, and others the rest', () => {
  let sent = 0
  for (const self of ['vm-1', 'vm-2', 'vm-3']) {
    const router = createTestRouter(self, 's1', 's2')
    limit(router, 's1', 6)
    const decisions = route(router, 10_000)
    sent += countSends(decisions, 's1')
    assert.equal(countSends(decisions, 's1') + countSends(decisions, 's2'), decisions.length)
  }
  assert.ok(sent >= 50 && sent <= 66, `${sent} in 10 s`)
})

/** Guards against a small limit that VMs of other regions use up. */
test('the VMs of the server\'s region come first', () => {
  const limited = createTestRouter('vm-3', 's1')
  limit(limited, 's1', 0)
  assert.equal(countSends(route(limited, 60_000), 's1'), 0)
  const local = createTestRouter('vm-1', 's1')
  limit(local, 's1', 0)
  assert.ok(countSends(route(local, 60_000), 's1') > 0)
})

/** Guards against a request that waits in the queue for a token that comes after its deadline. */
test('a request that only limited servers could take is not admitted, and told when to come back', () => {
  const router = createTestRouter('vm-1', 's1')
  limit(router, 's1', 0.5)
  const decision = routeRequest(router, request, gate, settledMs)
  assert.deepEqual(decision, { type: 'wait', passedOver: [{ region: kochi, reason: 'serverLimit' }] })
  const requestDelayMs = estimateRequestDelay(router, request, settledMs)
  assert.ok(requestDelayMs >= 2000, `${requestDelayMs}`)
  const input = { ...admission, requestDelayMs }
  assert.equal(canCompleteInTime(input, 0), false)
  assert.ok(getRetryAfterMs(input) >= 2000)
  assert.equal(canCompleteInTime(admission, 0), true)
})

test('a limit delays nothing while another server has none, nor where no server is known', () => {
  const router = createTestRouter('vm-1', 's1', 's2')
  limit(router, 's1', 0)
  assert.equal(estimateRequestDelay(router, request, settledMs), 0)
  assert.equal(estimateRequestDelay(createTestRouter('vm-1'), request, settledMs), 0)
})
