/** The RPC methods of a fleet's control VMs. */
import { hasRestrictionSince } from '@lynxcourse/state'
import type { BackendAnnouncement, ChangeAnswer, ConfigDelta, ReportServerEndsCommand } from '@lynxcourse/state'
import { LynxError, brandId, getErrorMessage } from '@lynxcourse/base'
import type { Millis, RegionId, RequestFingerprint, ServerId } from '@lynxcourse/base'
import { selectEntries, isDiscovering, omitKnownWeights, selectOwnShares, applyDigest, addLoadReport } from '@lynxcourse/placement'
import type { EntryPresence, LoadUpdate, LoadReport } from '@lynxcourse/placement'
import * as z from 'zod'
import type { CancelSignal } from '../../utils/cancelSignal.js'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { announcementSchema, fleetCommandSchema, nameSchema, serverEndFields, textSchema, trialFields } from '../../types/fleetCommands.js'
import { rolloutReportsByVmSchema, rolloutReportsSchema } from '../../types/rolloutReports.js'
import { addressSchema } from '../../types/settings.js'
import { addMethod } from '../rpc/rpcServer.js'
import type { RpcCall, RpcServer } from '../rpc/rpcServer.js'
import { SharedResult } from '../rpc/sharedResult.js'
import { claimTrial, dismissServer, cancelFleetTrial, getStateAge, submitFleetCommand, handleAnnouncement, takePermits } from './fleetControl.js'
import type { FleetCommand, FleetControl } from './fleetControl.js'
import { confirmReadPosition, readRollouts, readRoutes, summarizeTeams } from './fleetReads.js'
import { isLeading } from '../control/hostState.js'
import { waitForProgress } from '../control/progressWait.js'
import { delay } from '../node/timers.js'
import type { PermitRequest } from '../control/permitIssuing.js'
import type { ControlEndpoint } from './fleetNode.js'
import { recordWatchingEntry, applyPresenceReport, listRecentEntries } from './presence.js'
import type { PresenceReply, PresenceReport } from './presence.js'
import { confirmEntriesAsLeader } from './presenceExchange.js'
import type { PresenceExchange } from './presenceExchange.js'
import { recordRolloutReports } from './rolloutLeader.js'
import { getSharedDelta } from './sharedDeltas.js'

/** A request of an entry VM for changes after a version; the call stays open until there is one. */
export interface WatchRequest {
  readonly version: number
  readonly waitMs: Millis
  readonly self: EntryPresence
  /** Its load observations; omitted if too little time has passed since the last report. */
  readonly load?: LoadReport
  /** Version of the servers' weights that it has. */
  readonly weights: number
}

export interface WatchReply {
  readonly delta: ConfigDelta | undefined
  /** How long ago the answering VM's state was last known to be current; null if never. */
  readonly ageMs: Millis | null
  readonly controls: readonly ControlEndpoint[]
  /** Names of the entry VMs. */
  readonly entries: readonly string[]
  /** How long ago these were all entry VMs that the leader had heard of; null if that isn't known. */
  readonly entriesAgeMs: Millis | null
  readonly news: LoadUpdate
  /** How long ago a majority confirmed the leader that published `news`; null if that isn't known, undefined from control VMs of earlier versions. */
  readonly newsAgeMs?: Millis | null
  /** How long the call stayed open. */
  readonly heldMs: Millis
}

/** The answer to the question whether a copy of the state is current. */
export interface ConfirmReply extends Pick<WatchReply, 'ageMs' | 'heldMs'> {
  /** Version of the answering VM's state. */
  readonly version: number
}

const resourceSchema = z.number().min(0).max(1e9).optional()
const presenceSchema = z.strictObject({
  name: textSchema,
  address: addressSchema,
  failureDomain: textSchema,
  region: textSchema,
  isReady: z.boolean(),
  resources: z.strictObject({ cores: resourceSchema, linkMbps: resourceSchema, cpuUse: resourceSchema, linkUse: resourceSchema }).optional()
})
const loadAmountSchema = z.number().min(0).max(1e9)
const serverLoadsSchema = z.array(z.tuple([nameSchema, loadAmountSchema])).max(100_000)
const serverLimitsSchema = z.array(z.tuple([nameSchema, z.number().min(0).nullable()])).max(100_000)
const vmLoadsSchema = z.array(z.tuple([textSchema, nameSchema, loadAmountSchema])).max(100_000)
const loadSchema = z.strictObject({
  servers: serverLoadsSchema,
  busy: z.array(z.tuple([nameSchema, loadAmountSchema])).max(10_000),
  failed: z.array(nameSchema).max(100_000),
  limits: serverLimitsSchema.optional(),
  limitDemand: serverLoadsSchema.optional(),
  rollouts: rolloutReportsSchema.optional()
})
const watchSchema = z.strictObject({ version: z.number().int().min(0), waitMs: z.number().min(0).max(10_000), self: presenceSchema, load: loadSchema.optional(), weights: z.number().int() })
const reportSchema = z.strictObject({
  from: z.strictObject({ rpc: addressSchema, region: textSchema }),
  entries: z.array(z.strictObject({ presence: presenceSchema, ageMs: z.number().min(0) })).max(10_000),
  heard: z.array(nameSchema).max(100_000),
  load: z.strictObject({ servers: serverLoadsSchema, busy: vmLoadsSchema, failed: serverLoadsSchema, limits: serverLimitsSchema.optional(), limitDemand: vmLoadsSchema.optional(), rollouts: rolloutReportsByVmSchema.optional() }),
  weights: z.number().int()
})
const submitSchema = z.strictObject({ command: fleetCommandSchema })

const announceSchema = z.strictObject({ facts: announcementSchema })
const dismissSchema = z.strictObject({ server: nameSchema, bornAt: z.number().int().min(0).optional() })
const endsSchema = z.strictObject(serverEndFields)
const trialSchema = z.strictObject({ ...trialFields, isRelayed: z.boolean() })
const permitRequestSchema = z.strictObject({ team: z.string().min(1), wanted: z.number().int().min(1).max(100_000) })
const permitsSchema = z.strictObject({ requests: z.array(permitRequestSchema).max(20_000) })
const lookupSchema = z.strictObject({ region: textSchema.optional() })

/** Result of a lookup by a caller. */
export interface FleetLookup {
  /** Addresses of entry VMs that the caller should use. */
  readonly addresses: readonly string[]
  /** How long the caller may cache the answer. */
  readonly ttlMs: Millis
}

/**
 * Delay before a change is sent, so that further changes can be sent with it. While servers are replaced, changes occur
 * every few milliseconds, and each one that is sent makes all VMs of the region rebuild their tables. A request that was
 * restricted is sent at once: until VMs know of it, a caller that repeats it every 20 ms ends ten more servers.
 */
const changeDelayMs: Millis = 200

/** A timer that is delayed by more than this indicates that the event loop was blocked. */
const maxTimerDelayMs: Millis = 50

/** Adds the fleet's methods to the RPC server of a control VM. */
export function addFleetMethods (rpc: RpcServer, control: FleetControl, exchange: PresenceExchange): void {
  addMethod(rpc, 'fleet.watch', ['vm'], watchSchema, async (params, call) => await handleWatch(control, exchange, params as unknown as WatchRequest, call))
  addMethod(rpc, 'fleet.confirm', ['vm'], z.strictObject({}), async (_params, call) => await handleConfirm(control, call))
  addMethod(rpc, 'fleet.submit', ['vm', 'operator'], submitSchema, async (params, call) => await handleSubmit(control, params.command as unknown as FleetCommand, call))
  addMethod(rpc, 'fleet.read', ['vm', 'operator'], z.strictObject({}), async (_params, call) => {
    await ensureCallerConnected(control, 'fleet.read', call)
    return summarizeTeams(await readRoutes(control, true))
  })
  addMethod(rpc, 'fleet.relayRead', ['vm'], z.strictObject({}), async (_params, call) => {
    await ensureCallerConnected(control, 'fleet.relayRead', call)
    return await readRoutes(control, true)
  })
  addMethod(rpc, 'fleet.confirmRead', ['vm'], z.strictObject({}), async () => await confirmReadPosition(control))
  addMethod(rpc, 'fleet.readRollouts', ['vm', 'operator'], z.strictObject({}), async (_params, call) => {
    await ensureCallerConnected(control, 'fleet.readRollouts', call)
    return await readRollouts(control, true)
  })
  addMethod(rpc, 'fleet.presence', ['vm'], reportSchema, params => handlePresence(control, params as unknown as PresenceReport))
  addMethod(rpc, 'fleet.listEntries', ['vm', 'operator'], z.strictObject({}), () => listRecentEntries(control.presence, getCurrentTime()))
  addMethod(rpc, 'fleet.announce', ['server'], announceSchema, async ({ facts }) => {
    await handleAnnouncement(control, facts as unknown as BackendAnnouncement, getCurrentTime())
    return {}
  })
  addMethod(rpc, 'fleet.dismiss', ['server', 'operator'], dismissSchema, async ({ server, bornAt }) => {
    await dismissServer(control, brandId<ServerId>(server), bornAt)
    return {}
  })
  addMethod(rpc, 'fleet.reportServerEnds', ['vm'], endsSchema, async report => {
    await submitFleetCommand(control, { type: 'reportServerEnds', ...report as unknown as Omit<ReportServerEndsCommand, 'type'> })
    return {}
  })
  addMethod(rpc, 'fleet.claimTrial', ['vm'], trialSchema, async ({ request, forMs, isRelayed }) =>
    await claimTrial(control, brandId<RequestFingerprint>(request), forMs, isRelayed))
  addMethod(rpc, 'fleet.takePermits', ['vm'], permitsSchema, ({ requests }) => takePermits(control, requests as unknown as PermitRequest[], getCurrentTime()))
  addMethod(rpc, 'fleet.cancelTrial', ['vm'], z.strictObject({ request: textSchema, isRelayed: z.boolean() }), async ({ request, isRelayed }) => {
    await cancelFleetTrial(control, brandId<RequestFingerprint>(request), isRelayed)
    return {}
  })
  addMethod(rpc, 'fleet.lookup', ['vm', 'operator', 'server'], lookupSchema, ({ region }) =>
    lookUpEntries(control, region === undefined ? undefined : brandId<RegionId>(region), getCurrentTime()))
}

/**
 * Selects the entry VMs that a caller should use: ready ones, of its region if there are any. Returns none while the
 * control VM still discovers entry VMs after its start.
 */
export function lookUpEntries (control: FleetControl, region: RegionId | undefined, now: Millis): FleetLookup {
  const { times } = control.node.cfg
  const { entries, discovery } = control.presence
  const addresses = isDiscovering(discovery, now) ? [] : selectEntries([...entries.values()], region, times.presenceStaleMs, now, control.node.random)
  return { addresses, ttlMs: times.lookupTtlMs }
}

function handlePresence (control: FleetControl, report: PresenceReport): PresenceReply {
  const now = getCurrentTime()
  applyDigest(control.board, report.from.rpc, report.load, now)
  recordRolloutReports(control.rollouts, report.load.rollouts)
  if (isLeading(control.host)) confirmEntriesAsLeader(control)
  return { ...applyPresenceReport(control.presence, report, now), entriesAgeMs: getEntriesAge(control, now), news: omitKnownWeights(control.board.news, report.weights), newsAgeMs: getNewsAge(control, now) }
}

/** @throws LynxError `cancelled` if the caller closed its connection */
async function ensureCallerConnected ({ node }: FleetControl, method: string, call: RpcCall): Promise<void> {
  try {
    await call.ensureConnected()
  } catch (err) {
    log(node.logs, 'rpc', 'info', 'Call cancelled.', { method, peer: call.address, error: getErrorMessage(err) })
    throw err
  }
}

/**
 * Handles a command that another VM relays or an operator sends.
 *
 * An evacuation whose sender disconnected is not executed: it was not confirmed, and the operator may have sent a
 * different order since. Other commands are executed anyway: changes of routes name their base version, and what a
 * server announced stays true even if the call was abandoned, since a server may announce only once that it leaves.
 */
async function handleSubmit (control: FleetControl, command: FleetCommand, call: RpcCall): Promise<ChangeAnswer> {
  if (command.type === 'evacuate') await ensureCallerConnected(control, 'fleet.submit', call)
  return await submitFleetCommand(control, command, true)
}

async function handleWatch (control: FleetControl, exchange: PresenceExchange, request: WatchRequest, call: RpcCall): Promise<WatchReply | SharedResult> {
  const isChanged = recordWatchingEntry(control.presence, request.self, getCurrentTime())
  if (isChanged) exchange.exchangeSoon()
  if (request.load !== undefined) addLoadReport(control.loadAggregate, request.self.name, request.self.region, request.load, getCurrentTime())
  const startedAt = getCurrentTime()
  if (request.version === 0) await waitUntilCurrent(control, request.waitMs, call.gone)
  if (control.host.machine.config.version <= request.version) await waitForNewVersion(control, request, call.gone)
  // Timers run before sockets are polled: after the event loop was blocked, a wait ends before the closed connections
  // are read.
  if (getCurrentTime() - startedAt > request.waitMs + maxTimerDelayMs) await ensureCallerConnected(control, 'fleet.watch', call)
  if (call.gone.aborted) throw new LynxError('cancelled', 'the caller closed the connection', { step: 'fleet.watch', peer: call.address })
  if (control.hasEndedWatches) throw new LynxError('peerFailed', 'this VM is stopping', { step: 'fleet.watch' })
  if (request.version > 0 && control.host.machine.config.version > request.version) await waitForFurtherChanges(control, request.version, call.gone)
  const { config } = control.host.machine
  const fields: Omit<WatchReply, 'delta'> = {
    ageMs: getFiniteStateAge(control),
    controls: control.node.controls,
    entries: [...control.presence.entries.keys()],
    entriesAgeMs: getEntriesAge(control, getCurrentTime()),
    news: selectNewsFor(control.board.news, request),
    newsAgeMs: getNewsAge(control, getCurrentTime()),
    heldMs: getCurrentTime() - startedAt
  }
  if (config.version <= request.version) return { delta: undefined, ...fields }
  return new SharedResult(fields, 'delta', getSharedDelta(control.deltas, config, request.version))
}

/** Longest time for which a question is held while this VM does not have the current state. */
const maxConfirmHoldMs: Millis = 600
const confirmCheckMs: Millis = 30

/**
 * Answers the question whether a copy is current. A VM that was blocked has an old state until it has read what the leader sent
 * meanwhile. If it said so at once, entry VMs would take the group for lost, and go on with what they have.
 */
async function handleConfirm (control: FleetControl, { gone }: RpcCall): Promise<ConfirmReply> {
  const { host, node } = control
  const startedAt = getCurrentTime()
  const isOld = (): boolean => host.replica !== undefined && getStateAge(control, getCurrentTime()) > node.cfg.times.staleMs
  while (isOld() && !gone.aborted && !control.hasEndedWatches && getCurrentTime() - startedAt < maxConfirmHoldMs) await delay(confirmCheckMs)
  return { version: host.machine.config.version, ageMs: getFiniteStateAge(control), heldMs: getCurrentTime() - startedAt }
}

function getFiniteStateAge (control: FleetControl): Millis | null {
  const ageMs = getStateAge(control, getCurrentTime())
  return Number.isFinite(ageMs) ? ageMs : null
}

function getEntriesAge ({ presence: { entriesConfirmedAt } }: FleetControl, now: Millis): Millis | null {
  return Number.isFinite(entriesConfirmedAt) ? Math.max(0, now - entriesConfirmedAt) : null
}

function getNewsAge ({ presence: { newsConfirmedAt } }: FleetControl, now: Millis): Millis | null {
  return Number.isFinite(newsConfirmedAt) ? Math.max(0, now - newsConfirmedAt) : null
}

/** Waits for changes that can be sent with those after a version, but not if one of them is urgent. */
async function waitForFurtherChanges (control: FleetControl, version: number, signal: CancelSignal): Promise<void> {
  const { host } = control
  // A restriction follows from counted ends. Without any, which is nearly always, the items need not be searched.
  const isUrgent = (): boolean => host.machine.crashes.size > 0 && hasRestrictionSince(host.machine.config, version)
  if (!isUrgent()) await waitUnlessStopping(control, changeDelayMs, signal, isUrgent)
}

/** Returns what an entry VM needs of the load update: without the weights that it has, and with its own shares of limits only. */
function selectNewsFor (news: LoadUpdate, { weights, self }: WatchRequest): LoadUpdate {
  const { limits, ...others } = omitKnownWeights(news, weights)
  return limits === undefined ? others : { ...others, limits: selectOwnShares(limits, self.name) }
}

async function waitForNewVersion (control: FleetControl, request: WatchRequest, signal: CancelSignal): Promise<void> {
  const knownVersion = Math.max(request.version, control.host.machine.config.version)
  await waitUnlessStopping(control, request.waitMs, signal, () => control.host.machine.config.version > knownVersion)
}

/**
 * Delays the first watch of an entry VM until this VM's copy is the current state.
 *
 * When all VMs start at the same time and watches return immediately, entry VMs repeat them while the control VMs elect
 * a leader, and the watches use the processor time that the election needs. The symptom is many log lines about watches
 * that start without a version. With the delay, each entry VM sends one watch and is answered as soon as the state is
 * known.
 */
async function waitUntilCurrent (control: FleetControl, waitMs: Millis, signal: CancelSignal): Promise<void> {
  const isCurrent = (): boolean => getStateAge(control, getCurrentTime()) < control.node.cfg.times.staleMs
  // A VM with an empty disk first receives the state from the leader, which takes seconds; another VM can answer
  // sooner.
  if (control.host.replica !== undefined && !isCurrent()) await waitUnlessStopping(control, waitMs, signal, isCurrent)
}

/** Waits until the copy reaches a condition, the time is over, the caller disconnects or this VM stops. */
async function waitUnlessStopping (control: FleetControl, waitMs: Millis, signal: CancelSignal, isReached: () => boolean): Promise<void> {
  if (signal.aborted || control.hasEndedWatches) return
  await waitForProgress(control.host, waitMs, signal, () => control.hasEndedWatches || isReached())
}
