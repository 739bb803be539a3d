/** Routing among servers of a service that want no requests from this VM, or accept few connections. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId, loadChart } from '@lynxcourse/base'
import type { RegionId, ServerId, ServiceId, VmId } from '@lynxcourse/base'
import { noStatements, recordStatements } from '@lynxcourse/limits'
import type { ServerStatements } from '@lynxcourse/limits'
import { beginAttempt, countAvailableSlots, createRouter, createServerPolicy, defaultObservation, estimateRequestDelay, getRetryAfterMs, routeRequest, setBackends } from '@lynxcourse/routing'
import type { AdmissionInput, Backend, ObservedServer, RouteRequest, Router } from '@lynxcourse/routing'

const offers = brandId<ServiceId>('offers')
const kochi = brandId<RegionId>('kochi')
const settledMs = 60_000
const request: RouteRequest = { service: offers, places: [{ region: kochi, shift: undefined }], triedServers: new Set() }
const gate = { hasCapacity: () => true, getResources: () => [] }
const leaving: ServerStatements = { ...noStatements, leaving: { type: 'leaving' } }
const pause: ServerStatements = { ...noStatements, pause: { type: 'paused', forMs: 3000 } }

function backend (id: string, fields: Partial<Backend> = {}): Backend {
  return { id: brandId<ServerId>(id), service: offers, region: kochi, failureDomain: brandId('kochi-a'), address: `${id}:80`, incarnation: 1, slots: 3, maxConnections: 100, leaving: false, starting: false, ...fields }
}

function createTestRouter (...list: Backend[]): Router {
  const router = createRouter({ self: brandId<VmId>('vm-1'), region: kochi, policy: createServerPolicy('alone'), observation: defaultObservation, chart: loadChart('server'), random: Math.random, latencies: new Map() })
  router.peers = new Map([[kochi, ['vm-1', 'vm-2', 'vm-3', 'vm-4'].map(name => brandId<VmId>(name))]])
  setBackends(router.backends, list, 0)
  return router
}

function getServer ({ backends }: Router, id: string): ObservedServer {
  return backends.byId.get(brandId<ServerId>(id)) as ObservedServer
}

function getTarget (router: Router, now: number): string {
  const decision = routeRequest(router, request, gate, now)
  return decision.type === 'send' ? decision.observed.backend.id : decision.passedOver.map(({ reason }) => reason).join()
}

/** Guards against servers that get requests by service within a pause, or none after it. */
test('a paused server gets nothing until its pause ends', () => {
  const router = createTestRouter(backend('s1'))
  recordStatements(getServer(router, 's1').notice, pause, settledMs)
  assert.equal(getTarget(router, settledMs + 2999), 'serverPause')
  assert.equal(estimateRequestDelay(router, request, settledMs + 1000), 2000)
  assert.equal(getTarget(router, settledMs + 3000), 's1')
})

/** Guards against a leaving server that is used again because its announcements say nothing, or were missing for a while. */
test('a leaving server gets nothing, also after it was not listed, and its next process does', () => {
  const router = createTestRouter(backend('s1'))
  recordStatements(getServer(router, 's1').notice, leaving, settledMs)
  assert.equal(getTarget(router, settledMs), 'noServer')
  assert.equal(countAvailableSlots(router, request, settledMs), 0)
  setBackends(router.backends, [], settledMs + 1000)
  setBackends(router.backends, [backend('s1')], settledMs + 2000)
  assert.equal(getTarget(router, settledMs + 2000), 'noServer')
  setBackends(router.backends, [backend('s1', { incarnation: 2 })], settledMs + 3000)
  assert.equal(getTarget(router, settledMs + 3000), 's1')
})

/** Guards against callers that come back before a server takes requests. */
test('a caller is told to come back when a server takes requests, however late that is', () => {
  const input: AdmissionInput = { deadline: 1000, slots: 3, queueLength: 0, serviceMs: 5, completionIntervalMs: 0, overheadMs: 0 }
  assert.equal(getRetryAfterMs({ ...input, requestDelayMs: 50_000 }), 50_000)
  assert.equal(getRetryAfterMs({ ...input, requestDelayMs: Infinity }), 30_000)
})

/** Guards against VMs that together open more connections than a server accepts. */
test('each VM uses an equal fraction of the connections that a server accepts', () => {
  const router = createTestRouter(backend('s1', { slots: 20, maxConnections: 10 }))
  assert.equal(countAvailableSlots(router, request, settledMs), 2)
  for (const expected of ['s1', 's1', 'noSlot']) {
    assert.equal(getTarget(router, settledMs), expected)
    if (expected === 's1') beginAttempt(getServer(router, 's1'))
  }
})
