/** Builds routes for tests. */
import { brandId } from '@lynxcourse/base'
import type { ServiceId } from '@lynxcourse/base'
import type { Route } from '@lynxcourse/state'

/** Returns a sticky, idempotent route to the service `desk`. */
export function createRoute (name: string, overrides: Partial<Route> = {}): Route {
  return {
    name,
    host: 'a.example',
    pathPrefix: `/${name}/`,
    isIdempotent: true,
    timeoutMs: 1000,
    aimMs: 250,
    rank: 0,
    service: brandId<ServiceId>('desk'),
    split: [],
    maxAttempts: 2,
    isSticky: true,
    homes: [],
    annotations: {},
    ...overrides
  }
}
