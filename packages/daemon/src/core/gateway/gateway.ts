/** State of the gateway: the part of an entry VM that forwards callers' requests by route. */
import type { Socket } from 'node:net'
import { loadChart } from '@lynxcourse/base'
import { createFleet, getCopyAge, hasCompleteList, mayUseReducedShare, mayUseShare } from '@lynxcourse/placement'
import type { EntryState, Mechanism, StopSchedule } from '@lynxcourse/placement'
import { buildRouteTable, buildTeamTable } from '@lynxcourse/routing'
import type { RouteTable, SplitStates, TeamTable } from '@lynxcourse/routing'
import { defaultCallerLimits } from '@lynxcourse/state'
import type { CallerLimits, ConfigItem } from '@lynxcourse/state'
import type { LingeringSockets } from '../../utils/lingeringClose.js'
import type { LoopMonitor } from '../../utils/loopMonitor.js'
import { recordBufferUse } from '../../utils/bufferMemory.js'
import { readClocks } from '../../utils/clock.js'
import { createCrashWatch } from '../crashes/crashWatch.js'
import type { CrashWatch } from '../crashes/crashWatch.js'
import { FleetCrashChannel } from '../fleet/fleetCrashChannel.js'
import type { FleetNode } from '../fleet/fleetNode.js'
import { createConnectionPool } from '../entry/connectionPool.js'
import type { ConnectionPool } from '../entry/connectionPool.js'
import { createBodyMemory } from './bodyMemory.js'
import type { BodyMemory } from './bodyMemory.js'
import type { CallerDialect, ServerDialect } from './dialects.js'
import { createLinkPacer } from './linkPacer.js'
import type { LinkPacer } from './linkPacer.js'
import { FleetPermitChannel } from './permitChannel.js'
import { createRetryTotals } from './retryTotals.js'
import type { RetryTotals } from './retryTotals.js'
import { createOpenRequests } from './openRequests.js'
import type { OpenRequests } from './openRequests.js'
import type { Pipelines } from './pipeline.js'
import { createAnswerBudget } from './answerLimits.js'
import type { AnswerBudget } from './answerLimits.js'
import { createTeamPermits } from './teamPermits.js'
import type { TeamPermits } from './permitState.js'

export interface Gateway extends EntryState {
  readonly node: FleetNode
  readonly callers: CallerDialect
  readonly servers: ServerDialect
  readonly pool: ConnectionPool
  readonly splits: SplitStates
  readonly crashes: CrashWatch
  readonly permits: TeamPermits
  readonly retryTotals: RetryTotals
  /** Bounds the read delay of requests. */
  readonly loop: LoopMonitor
  routeTable: RouteTable
  teams: TeamTable
  /** The items of the state that both tables were built from. */
  tableItems: readonly ConfigItem[]
  limits: CallerLimits
  /** The times of the stop; undefined unless this VM stops. */
  stop: StopSchedule | undefined
  /** Number of requests in progress in this VM. */
  readonly open: number
  /** The requests in progress with their steps. */
  readonly openRequests: OpenRequests
  /** Open connections from callers. */
  readonly connections: Set<Socket>
  /** Connections from callers that are half-closed after their last answer. */
  readonly lingering: LingeringSockets
  /** Connections from callers that sent bytes that are no request. */
  readonly invalid: WeakSet<Socket>
  /** Writes large answers. */
  readonly link: LinkPacer
  /** Unanswered requests by caller connection. */
  readonly pipelines: Pipelines
  /** Number of requests that wait until the VM may use its state. */
  waitingForState: number
  /** Memory of the bodies of callers' requests. */
  readonly bodies: BodyMemory
  /** Memory of the answers that are being received from servers. */
  readonly answerBudget: AnswerBudget
}

export function createGateway (node: FleetNode, callers: CallerDialect, servers: ServerDialect): Gateway {
  const { connectTimeoutMs, staleConnectionMs } = node.cfg.times
  const setup = { self: node.cfg.name, region: node.cfg.region, random: node.random, disabledMechanisms: new Set<Mechanism>() }
  const { loop } = node
  const fleet = createFleet(setup, node.entryNames)
  fleet.mayUseShare = windowMs => mayUseShare(node.membership, windowMs, readClocks())
  fleet.mayUseReducedShare = () => mayUseReducedShare(node.membership, readClocks())
  fleet.knowsOthers = () => hasCompleteList(node.membership)
  fleet.rollouts.isStateConfirmed = () => getCopyAge(node.freshness, readClocks()) <= node.cfg.times.maxStateAgeMs
  const openRequests = createOpenRequests()
  return {
    node,
    callers,
    servers,
    pool: createConnectionPool({ staleMs: staleConnectionMs, silentMs: Infinity }, loadChart('connection'), connectTimeoutMs, loop.polls, node.guard.limits.serverConnections),
    fleet,
    load: node.load,
    splits: new Map(),
    crashes: createCrashWatch(node.logs, node.metrics, new FleetCrashChannel(node), connectTimeoutMs),
    permits: createTeamPermits(new FleetPermitChannel(node), node.logs, node.random),
    retries: new Map(),
    retryTotals: createRetryTotals(node.startedAt),
    loop,
    routeTable: buildRouteTable([]),
    teams: buildTeamTable([], false),
    tableItems: [],
    limits: defaultCallerLimits,
    link: createLinkPacer(node),
    pipelines: new WeakMap(),
    stop: undefined,
    get open () { return openRequests.all.size },
    openRequests,
    connections: new Set(),
    lingering: new Set(),
    invalid: new WeakSet(),
    waitingForCapacity: new Map(),
    waitingForState: 0,
    bodies: createBodyMemory(node.guard.limits.bodyBytes),
    answerBudget: createAnswerBudget(node.guard.limits.answerBytes, bytes => recordBufferUse(node.bufferMemory, bytes))
  }
}
