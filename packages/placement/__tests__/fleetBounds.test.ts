/** Bounds that hold over all VMs without their talking. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { hasColdToken, isWarmingVm, noteRequest, slotShare, spendRepeat, takeColdToken } from '@lynxcourse/placement'
import type { RetryShare } from '@lynxcourse/placement'
import { desk, createTestFleet, server } from './support/fleet.js'

const seed = 23
console.log(`seed ${seed}`)

/** Guards against this failure: a server that has just started crashes. */
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

/** Guards against this failure: callers of a failure domain with one VM are refused twice as often as others. */
test('a VM\'s share of the slots follows its part of the demand, within bounds', () => {
  const fleet = { ...createTestFleet(server('a'), server('b'), server('c'), server('d')), vms: ['vm-1', 'vm-2', 'vm-3', 'vm-4'] }
  assert.equal(slotShare(fleet, desk), 3)
  fleet.demandParts.set(desk, 0.5)
  assert.equal(slotShare(fleet, desk), 6)
  fleet.demandParts.set(desk, 0)
  assert.equal(slotShare(fleet, desk), 1.5)
})
