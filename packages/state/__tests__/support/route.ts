/** Routes of a made-up desk, for the tests of this package and, as `@lynxcourse/state/testing`, of others. */
import { brandId } from '@lynxcourse/base'
import type { ServiceId } from '@lynxcourse/base'
import type { Route } from '@lynxcourse/state'

/** A sticky route of the desk whose requests may be repeated. */
export function route (name: string, parts: Partial<Route> = {}): Route {
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
    ...parts
  }
}
