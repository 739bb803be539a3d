/** A small deployment of three regions whose waves differ in phase; one region has a tenth of the servers. */
import { patternSchema } from '@lynxcourse/replay'
import type { Pattern } from '@lynxcourse/replay'

/** Returns the pattern with some fields replaced. */
export function createSmallPattern (overrides: Partial<Pattern> = {}): Pattern {
  return patternSchema.parse({
    name: 'small',
    about: 'three regions, one of them with few servers',
    seconds: 30,
    delays: { inRegion: 0.9, betweenRegions: 35, toCallers: 8 },
    wave: { swing: 0.55, periodS: 36 },
    entryVm: { requestCpuMs: 3.5, cores: 0.27, restMs: 9000 },
    regions: {
      north: { failureDomains: 1, entryVms: 8, callers: 0.333, phase: 0.2 },
      south: { failureDomains: 1, entryVms: 8, callers: 0.333, phase: 0.53 },
      west: { failureDomains: 1, entryVms: 8, callers: 0.334, phase: 0.87 }
    },
    services: { desk: { slots: 3, queue: 9, warmObjects: 10, servers: { north: 48, south: 10, west: 40 } } },
    routes: {
      read: { service: 'desk', isIdempotent: true, perSecond: 110, objects: 36, workMs: 1248, warmPart: 0.25, spread: 0.15, aimMs: 800, timeoutMs: 2500, patienceMs: 5000, worth: 1, lateWorth: 0.2, rank: 2 },
      offer: { service: 'desk', isIdempotent: false, perSecond: 60, objects: 20, workMs: 1632, warmPart: 0.25, spread: 0.15, aimMs: 1000, timeoutMs: 4000, patienceMs: 6000, worth: 2, lateWorth: 0.4, rank: 1 }
    },
    ...overrides
  })
}
