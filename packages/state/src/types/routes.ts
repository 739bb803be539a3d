/** Routes of callers' requests to services, announced backend servers, and the commands that change them. */
import type { FailureDomainId, KeyDigest, Millis, RegionId, ServerId, ServiceId, TeamName } from '@lynxcourse/base'

/** A service that receives a share of a route's requests, in proportion to its weight. */
export interface WeightedService {
  readonly service: ServiceId
  readonly weight: number
}

/** Settings that this version doesn't interpret but stores and returns unchanged. */
export type Annotations = Readonly<Record<string, unknown>>

/** The requests that a route matches, the services that they go to and the limits on serving them. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash; the route with the longest matching prefix applies. */
  readonly pathPrefix: string
  /** Whether a request may run more than once. */
  readonly isIdempotent: boolean
  /** Whether answers are large, so that they are passed on in pieces; undefined means no. */
  readonly hasLargeAnswers?: boolean | undefined
  /** Maximum time that a caller waits for the answer. */
  readonly timeoutMs: Millis
  /** Latency objective: an answer within this time has the highest value. */
  readonly aimMs: Millis
  /** Priority; 0 is the most urgent. */
  readonly rank: number
  /** The only service; undefined if `split` lists the services. */
  readonly service: ServiceId | undefined
  readonly split: readonly WeightedService[]
  /** Maximum number of backend servers that one request may be sent to. */
  readonly maxAttempts: number
  /** Whether a server handles a key faster after it has recently handled the same key. */
  readonly isSticky: boolean
  /** The only regions that may serve the route; empty for all regions. */
  readonly homes: readonly RegionId[]
  /** Whether callers need no key although there are teams; undefined if the operator did not say. */
  readonly isPublic?: boolean | undefined
  readonly annotations: Annotations
}

/** Callers that share keys, a priority, a rate limit and the regions that may serve them. */
export interface Team {
  readonly name: TeamName
  /** Secrets by which callers identify themselves. Only control VMs hold them; entry VMs get their digests. */
  readonly keys: readonly string[]
  /** Priority of the team's requests, in place of their routes' priority; undefined to keep the routes' priority. */
  readonly rank: number | undefined
  /** Requests per second over all VMs together; 0 for no limit. */
  readonly ratePerSecond: number
  /** Requests that the team may send at once beyond its rate. */
  readonly burst: number
  /** The only regions that may serve the team; empty for all regions. */
  readonly homes: readonly RegionId[]
  readonly annotations: Annotations
}

/** Settings that apply to all backend servers of one service. */
export interface Upstream {
  readonly name: ServiceId
  readonly healthPath: string
  /** Maximum number of connections to one server from all VMs together. */
  readonly maxConnections: number
  /** Time after its start during which a server counts as cold. */
  readonly warmupMs: Millis
  /** Requests per second that a cold server can handle. */
  readonly warmupPerSecond: number
  readonly annotations: Annotations
}

/** Limits on the size and timing of callers' requests and connections. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: Millis
  readonly idleTimeoutMs: Millis
}

/** All routes, services, limits and teams as one change by an operator sets them. */
export interface RouteSet {
  readonly routes: readonly Route[]
  readonly upstreams: readonly Upstream[]
  readonly limits: CallerLimits
  /** Undefined if callers need no keys; an empty list rejects all callers except on public routes. */
  readonly teams?: readonly Team[] | undefined
}

/** The data that a backend server announces. */
export interface BackendAnnouncement {
  readonly id: ServerId
  readonly service: ServiceId
  readonly address: string
  readonly failureDomain: FailureDomainId
  readonly slots: number
  /** Version of the server's software. */
  readonly software: string
  readonly isDraining: boolean
  /** Start time in Unix milliseconds, which differs for each incarnation of a server; 0 if the announcement has none. */
  readonly bornAt: Millis
  /** Sequence number that grows with each announcement of one incarnation and restarts with the next one. */
  readonly seq: number
  /** Remaining time during which the server counts as cold. */
  readonly coldMs: Millis
}

/** `lost` servers stopped announcing themselves and may come back; `gone` servers have ended for good. */
export type BackendState = 'serving' | 'draining' | 'lost' | 'gone'

export interface RouteItem { readonly kind: 'route', readonly key: string, readonly route: Route | undefined }
export interface UpstreamItem { readonly kind: 'upstream', readonly key: string, readonly upstream: Upstream | undefined }
export interface TeamItem {
  readonly kind: 'team'
  readonly key: TeamName
  /** In the copies of entry VMs, the team has no keys. */
  readonly team: Team | undefined
  readonly keyDigests: readonly KeyDigest[]
}
/** The version number that operators gave the routes; the configuration has one such item. */
export interface RoutingItem {
  readonly kind: 'routing'
  readonly key: string
  readonly routesVersion: number
  readonly limits: CallerLimits
  /** Whether callers need a key of a team. */
  readonly hasTeams?: boolean
}
export interface EvacuationItem { readonly kind: 'evacuation', readonly key: FailureDomainId, readonly isActive: boolean }
export interface BackendItem { readonly kind: 'backend', readonly key: ServerId, readonly facts: BackendAnnouncement, readonly state: BackendState }

/** Key of the only routing item. */
export const routingKey = 'routes'

/** Identifies a change of routes, so that a resent one is recognised. The id is a digest of the whole change. */
export type RouteChangeId = string & { readonly __brand: 'RouteChangeId' }

/** Replaces all routes, services, limits and teams. */
export interface ReplaceRoutesCommand {
  readonly type: 'replaceRoutes'
  readonly order: RouteChangeId
  readonly baseVersion: number
  readonly routesVersion: number
  readonly set: RouteSet
}

/** Adds, replaces and removes routes, upstreams and teams by name. */
export interface UpdateRoutesCommand {
  readonly type: 'updateRoutes'
  readonly order: RouteChangeId
  readonly baseVersion: number
  readonly routesVersion: number
  readonly putRoutes: readonly Route[]
  readonly putUpstreams: readonly Upstream[]
  readonly removeRoutes: readonly string[]
  readonly removeUpstreams: readonly string[]
  /** The new limits; undefined keeps the current ones. */
  readonly limits: CallerLimits | undefined
  readonly putTeams?: readonly Team[] | undefined
  readonly removeTeams?: readonly string[] | undefined
}

/** Starts or ends the evacuation of a failure domain, which keeps requests away from its servers. */
export interface EvacuateCommand {
  readonly type: 'evacuate'
  readonly failureDomain: FailureDomainId
  readonly isActive: boolean
  /**
   * The version of the state that the receiving VM knew when the operator's command may have arrived. The command is rejected if
   * the failure domain changed after this version. Without a base version, the command is never rejected.
   */
  readonly baseVersion?: number
}

/** Applies the announcement of a server. */
export interface AnnounceCommand { readonly type: 'announce', readonly facts: BackendAnnouncement }
/** Applies the announcements of several servers in order. */
export interface AnnounceAllCommand { readonly type: 'announceAll', readonly servers: readonly BackendAnnouncement[] }
/** Records that servers ended for good; with `bornAt`, only incarnations that started at or before it. */
export interface DismissCommand { readonly type: 'dismiss', readonly ids: readonly ServerId[], readonly bornAt?: Millis }
/** Records that servers stopped announcing themselves. The leader plans this command. */
export interface MissCommand { readonly type: 'miss', readonly ids: readonly ServerId[] }

export type RouteCommand =
  | ReplaceRoutesCommand | UpdateRoutesCommand | EvacuateCommand | AnnounceCommand | AnnounceAllCommand | DismissCommand | MissCommand
