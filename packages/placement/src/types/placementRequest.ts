/** What placement knows of a request. */
import type { Millis, ServerId, ServiceId } from '@lynxcourse/base'
import type { Route } from '@lynxcourse/state'

/** A request for which a server is to be selected. */
export interface PlacementRequest {
  readonly route: Route
  readonly service: ServiceId
  /** Key of the request's object; empty if unknown. */
  readonly object: string
  /** Servers to which the request was already sent. */
  readonly tried: ReadonlySet<ServerId>
  /** When the request arrived at this VM. */
  readonly arrivedAt: Millis
  readonly deadline: Millis
  /** Percentage that assigns a request without an object to a version of a rollout; undefined if there was none when it arrived. */
  readonly versionDraw?: number | undefined
}
