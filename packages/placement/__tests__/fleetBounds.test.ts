/** Tests limits that all VMs together observe without exchanging messages. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { brandId } from '@lynxcourse/base'
import { consumeLimitToken, hasLimitToken, limitWindowMs, recordNamedLimit } from '@lynxcourse/limits'
import { applyLimits, getConnectionShare, getLimitShare, hasColdToken, isWarmingVm, listMembers, mayUseShare, placeRequest, recordBudgetedRequest, computeSlackShare, computeSlotShare, settleRetry, trySpendRetry, consumeColdToken } from '@lynxcourse/placement'
import type { Fleet, RetryUsage } from '@lynxcourse/placement'
import { desk, createTestFleet, request, server } from './support/fleet.js'
import { playFleet, readClocks } from './support/fleetModel.js'
import type { ModelVm } from './support/fleetModel.js'
import { countWithin } from './support/retryModel.js'
import { disturbanceArbitrary } from './support/schedules.js'

const seed = 23
console.log(`seed ${seed}`)

/** Guards against this failure: a server that has just started crashes under too many requests. */
test('all VMs together observe the rate limit of a cold server in any second, even if they know different VMs', () => {
  const perSecond = 9.9
  const limit = perSecond * 1.5 + 5
  fc.assert(fc.property(fc.integer({ min: 1, max: 12 }), fc.integer({ min: 0, max: 2 }), (vmCount, unknownCount) => {
    const names = Array.from({ length: vmCount }, (_, index) => `vm-${index}`)
    const arrivals: number[] = []
    for (const self of names) {
      const known = names.filter((name, index) => name === self || index >= unknownCount)
      const cold = server('cold')
      if (!isWarmingVm(cold, self, known)) continue
      for (let now = 0; now < 3000; now += 5) {
        if (!hasColdToken(cold, perSecond, now)) continue
        consumeColdToken(cold)
        arrivals.push(now)
      }
    }
    return arrivals.every(start => arrivals.filter(at => at >= start && at < start + 1000).length <= limit)
  }), { seed })
})

/** Guards against this failure: VMs that have just started, or that are cut off, each take themselves for the VMs that warm a server. */
test('all VMs together observe the rate limit of a cold server under any schedule of disturbances', () => {
  const perSecond = 6.8
  const limit = perSecond * 1.5 + 5
  const endsAt = 30_000
  fc.assert(fc.property(fc.integer({ min: 1, max: 14 }), fc.array(disturbanceArbitrary(endsAt), { maxLength: 10 }), (vmCount, disturbances) => {
    const arrivals: number[] = []
    const fleets = new WeakMap<ModelVm, Fleet>()
    playFleet(vmCount, disturbances, endsAt, {
      step: (running, _all, now) => {
        for (const vm of running) {
          const fleet = fleets.get(vm) ?? createColdFleet(vm.name, perSecond)
          fleets.set(vm, fleet)
          updateMembers(fleet, vm, now)
          const { steady } = readClocks(vm, now)
          const placement = placeRequest(fleet, request({ arrivedAt: steady, deadline: steady + 5000 }), steady)
          if (placement.type !== 'send') continue
          consumeColdToken(placement.server)
          arrivals.push(now)
        }
      }
    })
    for (const from of new Set(arrivals)) {
      const count = countWithin(arrivals, from, 1000)
      assert.ok(count <= limit, `${count} requests from ${from} on, ${limit} are allowed`)
    }
  }), { seed, numRuns: Number(process.env.RUNS ?? 60) })
})

/** Creates the fleet of a VM with one server, which is cold all the time. */
function createColdFleet (self: string, perSecond: number): Fleet {
  const cold = server('cold')
  cold.coldUntil = Infinity
  const fleet = createTestFleet(cold)
  fleet.coldRequestRates.set(desk, perSecond)
  return { ...fleet, setup: { ...fleet.setup, self } }
}

test('all VMs together observe the retry budget in any window, whatever share of the requests each VM gets', () => {
  const cfg = { ratio: 0.2, windowMs: 10_000, slack: 56 }
  fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: 60 }), { minLength: 1, maxLength: 12 }), rates => {
    const events: Array<{ at: number, repeat: boolean }> = []
    for (const rate of rates) {
      const share: RetryUsage = new Map()
      for (let at = 0; at < 25_000; at += 250) {
        for (let sent = 0; sent < rate / 4; sent++) {
          recordBudgetedRequest(share, cfg, desk, at, at)
          events.push({ at, repeat: false })
        }
        const charge = trySpendRetry(share, cfg, desk, 'full', computeSlackShare(cfg, rates.length), at)
        if (charge === undefined) continue
        settleRetry(charge, at)
        events.push({ at, repeat: true })
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

/** Guards against this failure: the only VM of a failure domain refuses requests twice as often as other VMs. */
test('a VM\'s share of the slots is proportional to its fraction of the demand, within limits', () => {
  const fleet = { ...createTestFleet(server('a'), server('b'), server('c'), server('d')), vms: ['vm-1', 'vm-2', 'vm-3', 'vm-4'] }
  assert.equal(computeSlotShare(fleet, desk), 3)
  fleet.demandFractions.set(desk, 0.5)
  assert.equal(computeSlotShare(fleet, desk), 6)
  fleet.demandFractions.set(desk, 0)
  assert.equal(computeSlotShare(fleet, desk), 1.5)
})

/** Guards against this failure: a VM that has just started takes itself for the only one, and sends a limited server all that it takes. */
test('all VMs together observe a server\'s limit under restarts and changes of the fleet, without the leader\'s word', () => {
  const perSecond = 20
  const limit = perSecond * limitWindowMs / 1000 * 1.5 + 5
  const endsAt = 30_000
  const schedule = fc.array(disturbanceArbitrary(endsAt), { maxLength: 10 })
  fc.assert(fc.property(fc.integer({ min: 1, max: 14 }), schedule, (vmCount, disturbances) => {
    const arrivals: number[] = []
    const fleets = new WeakMap<ModelVm, Fleet>()
    playFleet(vmCount, disturbances, endsAt, {
      step: (running, _all, now) => {
        for (const vm of running) {
          const fleet = fleets.get(vm) ?? createLimitedFleet(vm.name, perSecond)
          fleets.set(vm, fleet)
          updateMembers(fleet, vm, now)
          sendAllowed(fleet, readClocks(vm, now).steady, () => arrivals.push(now))
        }
      }
    })
    for (const from of new Set(arrivals)) {
      const count = countWithin(arrivals, from, limitWindowMs)
      assert.ok(count <= limit, `${count} requests from ${from} on, ${limit} are allowed`)
    }
  }), { seed, numRuns: Number(process.env.RUNS ?? 60) })
})

/** Guards against VMs that have just started, each of which takes itself for the only one and opens all connections of a server. */
test('all VMs together keep to the connections of a server, also while each of them knows only itself', () => {
  const connections = 1290
  for (const vmCount of [1, 8, 62, 185]) {
    const names = Array.from({ length: vmCount }, (_, index) => `vm-${index}`)
    const sum = (knows: boolean): number => names.map(name => {
      const target = server('a')
      const fleet = { ...createTestFleet(target), vms: knows ? names : [name], knowsOthers: () => knows }
      fleet.maxConnections.set(desk, connections)
      return getConnectionShare(fleet, target)
    }).reduce((total, share) => total + share, 0)
    assert.ok(sum(false) <= connections, `${vmCount} VMs that know only themselves open ${sum(false)}`)
    assert.ok(sum(true) <= connections && sum(true) > connections - vmCount)
  }
})

/** Guards against a VM that the leader no longer hears, and that keeps its fraction of a limit while the leader gives it to others. */
test('fractions of a limit that the leader gives to other VMs are not used any more by a VM that it does not hear', () => {
  const perSecond = 20
  const limit = perSecond * limitWindowMs / 1000 * 1.5 + 5
  const cutAt = 5000
  const [heard, unheard] = ['vm-1', 'vm-2'].map(name => createLimitedFleet(name, perSecond)) as [Fleet, Fleet]
  const arrivals: number[] = []
  for (let now = 0; now < 30_000; now += 50) {
    for (const fleet of [heard, unheard]) {
      const isHeard = fleet === heard || now < cutAt
      // The leader leaves out a VM that it has not heard of for 2.6 s.
      const share = now >= cutAt + 2600 ? 1 : fleet === heard ? 0.1 : 0.9
      if (isHeard && now % 400 === 0) applyLimits(fleet, [{ server: brandId('limited'), perSecond, shares: [[fleet.setup.self, share]] }], now)
      fleet.mayUseShare = () => isHeard
      sendAllowed(fleet, now, () => arrivals.push(now))
    }
  }
  const most = Math.max(...arrivals.map(from => countWithin(arrivals, from, limitWindowMs)))
  assert.ok(most <= limit, `${most} requests in a window, ${limit} are allowed`)
})

/** Creates the fleet of a VM that has heard of a server's limit by an answer. */
function createLimitedFleet (self: string, perSecond: number): Fleet {
  const limited = server('limited')
  recordNamedLimit(limited.notice.limit, { type: 'limited', perSecond }, 0)
  const fleet = createTestFleet(limited)
  return { ...fleet, setup: { ...fleet.setup, self } }
}

/** Sends as many requests to the limited server as the VM's share of its limit permits. */
function sendAllowed (fleet: Fleet, now: number, onSend: () => void): void {
  const [limited] = fleet.byId.values()
  if (limited === undefined) return
  const { limit } = limited.notice
  while (hasLimitToken(limit, getLimitShare(fleet, limited), now)) {
    consumeLimitToken(limit)
    onSend()
  }
}

/** Tells a fleet what its VM knows of the others. */
function updateMembers (fleet: Fleet, vm: ModelVm, now: number): void {
  const members = listMembers(vm.membership)
  if (members.join() !== fleet.vms.join()) fleet.vms = members
  fleet.mayUseShare = windowMs => mayUseShare(vm.membership, windowMs, readClocks(vm, now))
}
