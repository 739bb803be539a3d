/** Arbitrary schedules of disturbances for property tests. */
import fc from 'fast-check'
import type { Disturbance } from './fleetModel.js'

/** Creates disturbances that begin before `endsAt`. */
export function disturbanceArbitrary (endsAt: number): fc.Arbitrary<Disturbance> {
  return fc.record<Disturbance>({
    kind: fc.constantFrom('kill', 'freeze', 'cutOff', 'holdSends', 'add', 'restartControl', 'burst', 'shift'),
    at: fc.integer({ min: 0, max: endsAt }),
    forMs: fc.integer({ min: 200, max: 9000 }),
    vm: fc.nat(20),
    share: fc.constantFrom(0.1, 0.3, 0.6, 1)
  })
}
