/** Routes from callers' requests to services, and the backend servers that announced themselves. */
import type { FailureDomainId, Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'

/** A service's share of a route's requests. */
export interface WeightedService {
  readonly service: ServiceId
  readonly weight: number
}

/** Settings that this version does not interpret; given back as they came. */
export type Annotations = Readonly<Record<string, unknown>>

/** Which requests a route takes, where they go and what they may cost. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash; the longest that fits wins. */
  readonly pathPrefix: string
  /** Whether a request may run more than once. */
  readonly isIdempotent: boolean
  /** Longest time that a caller is kept waiting. */
  readonly timeoutMs: Millis
  /** Latency objective: an answer within it is worth most. */
  readonly aimMs: Millis
  /** 0 is the most urgent. */
  readonly rank: number
  /** The one service; undefined where `split` names several. */
  readonly service: ServiceId | undefined
  readonly split: readonly WeightedService[]
  /** Most servers to which one request may be sent. */
  readonly maxAttempts: number
  /** Whether a server that handled a key lately handles it faster. */
  readonly isSticky: boolean
  /** Regions that alone may serve it; empty for all. */
  readonly homes: readonly RegionId[]
  readonly annotations: Annotations
}

/** What holds for all servers of one service. */
export interface Upstream {
  readonly name: ServiceId
  readonly healthPath: string
  /** Connections that one server takes from all VMs together. */
  readonly maxConnections: number
  /** How long a server stays cold after its start. */
  readonly warmupMs: Millis
  /** Requests a second that a cold server bears. */
  readonly warmupPerSecond: number
  readonly annotations: Annotations
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: Millis
  readonly idleTimeoutMs: Millis
}

/** All routes, as one operator's change sets them. */
export interface RouteSet {
  readonly routes: readonly Route[]
  readonly upstreams: readonly Upstream[]
  readonly limits: CallerLimits
}

/** What an announcement tells of a backend server. */
export interface BackendAnnouncement {
  readonly id: ServerId
  readonly service: ServiceId
  readonly address: string
  readonly failureDomain: FailureDomainId
  readonly slots: number
  /** Version of the server's software. */
  readonly software: string
  readonly isDraining: boolean
  /** When it started, in Unix milliseconds; a server that starts again under its id tells another time. 0 where it did not say. */
  readonly bornAt: Millis
  /** Grows with each announcement of one incarnation, and starts anew with the next. */
  readonly seq: number
  /** How much longer it stays cold. */
  readonly coldMs: Millis
}

/** `lost` servers fell silent and may come back; `gone` ones have ended for good. */
export type BackendState = 'serving' | 'draining' | 'lost' | 'gone'

export interface RouteItem { readonly kind: 'route', readonly key: string, readonly route: Route | undefined }
export interface UpstreamItem { readonly kind: 'upstream', readonly key: string, readonly upstream: Upstream | undefined }
/** The version of the routes that operators count in; there is one such item. */
export interface RoutingItem { readonly kind: 'routing', readonly key: string, readonly routesVersion: number, readonly limits: CallerLimits }
export interface EvacuationItem { readonly kind: 'evacuation', readonly key: FailureDomainId, readonly isActive: boolean }
export interface BackendItem { readonly kind: 'backend', readonly key: ServerId, readonly facts: BackendAnnouncement, readonly state: BackendState }

/** Key of the one routing item. */
export const routingKey = 'routes'

/** Id under which an order is recognised when it is sent again: a digest of all that it says. */
export type RouteChangeId = string & { readonly __brand: 'OrderId' }

/** Replaces all routes. */
export interface ReplaceRoutesCommand {
  readonly type: 'replaceRoutes'
  readonly order: RouteChangeId
  readonly baseVersion: number
  readonly routesVersion: number
  readonly set: RouteSet
}

/** Changes some routes and upstreams, by name. */
export interface UpdateRoutesCommand {
  readonly type: 'updateRoutes'
  readonly order: RouteChangeId
  readonly baseVersion: number
  readonly routesVersion: number
  readonly putRoutes: readonly Route[]
  readonly putUpstreams: readonly Upstream[]
  readonly removeRoutes: readonly string[]
  readonly removeUpstreams: readonly string[]
  /** Limits to take over; undefined leaves them. */
  readonly limits: CallerLimits | undefined
}

/** Keeps work away from a failure domain's servers, or ends that. */
export interface EvacuateCommand {
  readonly type: 'evacuate'
  readonly failureDomain: FailureDomainId
  readonly isActive: boolean
  /** Version of the state that the VM which took the order knew when the order can have come to it. It is refused if the failure domain changed later; missing, it never is. */
  readonly baseVersion?: number
}

/** Takes an announcement over. */
export interface AnnounceCommand { readonly type: 'announce', readonly facts: BackendAnnouncement }
/** Takes over the announcements of several servers, in their order. */
export interface AnnounceAllCommand { readonly type: 'announceAll', readonly servers: readonly BackendAnnouncement[] }
/** Notes that servers ended for good; with `bornAt`, only incarnations up to it. */
export interface DismissCommand { readonly type: 'dismiss', readonly ids: readonly ServerId[], readonly bornAt?: Millis }
/** Notes that servers fell silent; planned by the leader. */
export interface MissCommand { readonly type: 'miss', readonly ids: readonly ServerId[] }

export type RouteCommand =
  | ReplaceRoutesCommand | UpdateRoutesCommand | EvacuateCommand | AnnounceCommand | AnnounceAllCommand | DismissCommand | MissCommand
