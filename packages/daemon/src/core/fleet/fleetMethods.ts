/** The RPC methods of a fleet's control VMs. */
import { getDeltaSince } from '@lynxcourse/state'
import type { BackendAnnouncement, ChangeAnswer, ConfigDelta, RouteCommand } from '@lynxcourse/state'
import { LynxError, brandId, getErrorMessage } from '@lynxcourse/base'
import type { Millis, RegionId, ServerId } from '@lynxcourse/base'
import { selectEntries, isDiscovering, omitKnownWeights, applyDigest, addLoadReport } from '@lynxcourse/placement'
import type { EntryPresence, LoadUpdate, LoadReport } from '@lynxcourse/placement'
import * as z from 'zod'
import type { CancelSignal } from '../../utils/cancelSignal.js'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { addressSchema } from '../../types/settings.js'
import { addMethod } from '../rpc/rpcServer.js'
import { delay } from '../node/timers.js'
import type { RpcCall, RpcServer } from '../rpc/rpcServer.js'
import { dismissServer, readRoutes, getStateAge, submitRouteCommand, handleAnnouncement } from './fleetControl.js'
import type { FleetControl } from './fleetControl.js'
import type { ControlPlace } from './fleetNode.js'
import { noteWatching, takePresenceReport } from './presence.js'
import type { PresenceReply, PresenceReport } from './presence.js'
import type { PresenceLoop } from './presenceExchange.js'

/** What an entry VM asks: news after a version, held open until there is some. */
export interface WatchRequest {
  readonly version: number
  readonly waitMs: Millis
  readonly self: EntryPresence
  /** What it saw of the load; left out where too little time has passed since the last report. */
  readonly load?: LoadReport
  /** Version of the servers' weights that it holds. */
  readonly weights: number
}

export interface WatchReply {
  readonly delta: ConfigDelta | undefined
  /** How long ago the answering VM's state was known to be the present one. */
  readonly ageMs: Millis | null
  readonly controls: readonly ControlPlace[]
  /** Names of the entry VMs. */
  readonly entries: readonly string[]
  readonly news: LoadUpdate
}

const text = z.string().min(1).max(200)
const presenceSchema = z.strictObject({ name: text, address: addressSchema, failureDomain: text, region: text, isReady: z.boolean() })
const amount = z.number().min(0).max(1e9)
const serverLoads = z.array(z.tuple([text, amount])).max(100_000)
const loadSchema = z.strictObject({ servers: serverLoads, busy: z.array(z.tuple([text, amount])).max(10_000), failed: z.array(text).max(100_000) })
const watchSchema = z.strictObject({ version: z.number().int().min(0), waitMs: z.number().min(0).max(10_000), self: presenceSchema, load: loadSchema.optional(), weights: z.number().int() })
const reportSchema = z.strictObject({
  from: z.strictObject({ rpc: addressSchema, region: text }),
  entries: z.array(z.strictObject({ presence: presenceSchema, ageMs: z.number().min(0) })).max(10_000),
  heard: z.array(text).max(100_000),
  load: z.strictObject({ servers: serverLoads, busy: z.array(z.tuple([text, text, amount])).max(100_000), failed: serverLoads }),
  weights: z.number().int()
})
/** Commands come from control VMs, which checked them where they entered. */
const submitSchema = z.strictObject({ command: z.looseObject({ type: z.enum(['replaceRoutes', 'updateRoutes', 'evacuate', 'announce', 'announceAll', 'dismiss', 'miss']) }) })

const announceSchema = z.strictObject({
  facts: z.strictObject({
    id: text,
    service: text,
    address: addressSchema,
    failureDomain: text,
    slots: z.number().int().min(1),
    software: z.string().max(200).default(''),
    bornAt: z.number().int().min(0).default(0),
    isDraining: z.boolean(),
    seq: z.number().min(0),
    coldMs: z.number().min(0).default(0)
  })
})
const dismissSchema = z.strictObject({ server: text, bornAt: z.number().int().min(0).optional() })
const lookupSchema = z.strictObject({ region: text.optional() })

/** What a look-up tells a caller. */
export interface FleetLookup {
  /** Addresses of entry VMs to use. */
  readonly addresses: readonly string[]
  /** How long the answer may be kept. */
  readonly ttlMs: Millis
}

/**
 * News waits this long for more before it goes out: while servers are replaced, changes come every few
 * milliseconds, and each wakes all VMs of the region and has them rebuild their tables.
 */
const gatherMs: Millis = 200

/** A wait that ends this much late ended while the VM stood still. */
const stillMs: Millis = 50

/** Adds the methods. */
export function addFleetMethods (rpc: RpcServer, control: FleetControl, loop: PresenceLoop): void {
  addMethod(rpc, 'fleet.watch', ['vm'], watchSchema, async (params, call) => await answerWatch(control, loop, params as unknown as WatchRequest, call))
  addMethod(rpc, 'fleet.submit', ['vm', 'operator'], submitSchema, async (params, call) => await answerSubmit(control, params.command as unknown as RouteCommand, call))
  addMethod(rpc, 'fleet.read', ['vm', 'operator'], z.strictObject({}), async (_params, call) => {
    await lookBefore(control, 'fleet.read', call)
    return await readRoutes(control, true)
  })
  addMethod(rpc, 'fleet.presence', ['vm'], reportSchema, params => answerPresence(control, params as unknown as PresenceReport))
  addMethod(rpc, 'fleet.announce', ['server'], announceSchema, async ({ facts }) => {
    await handleAnnouncement(control, facts as unknown as BackendAnnouncement, getCurrentTime())
    return {}
  })
  addMethod(rpc, 'fleet.dismiss', ['server', 'operator'], dismissSchema, async ({ server, bornAt }) => {
    await dismissServer(control, brandId<ServerId>(server), bornAt)
    return {}
  })
  addMethod(rpc, 'fleet.lookup', ['vm', 'operator', 'server'], lookupSchema, ({ region }) =>
    lookUpEntries(control, region === undefined ? undefined : brandId<RegionId>(region), getCurrentTime()))
}

/** Which entry VMs a caller should use: those of its region where some are ready; none while they come in after a start. */
export function lookUpEntries (control: FleetControl, region: RegionId | undefined, now: Millis): FleetLookup {
  const { times } = control.node.cfg
  const { entries, gathering } = control.presence
  const addresses = isDiscovering(gathering, now) ? [] : selectEntries([...entries.values()], region, times.presenceStaleMs, now, control.node.random)
  return { addresses, ttlMs: times.lookupTtlMs }
}

function answerPresence (control: FleetControl, report: PresenceReport): PresenceReply {
  const now = getCurrentTime()
  applyDigest(control.board, report.from.rpc, report.load, now)
  return { ...takePresenceReport(control.presence, report, now), news: omitKnownWeights(control.board.news, report.weights) }
}

/** @throws LynxError `cancelled` if the caller has left */
async function lookBefore ({ node }: FleetControl, method: string, call: RpcCall): Promise<void> {
  try {
    await call.look()
  } catch (err) {
    log(node.logs, 'rpc', 'info', 'Call not taken up.', { method, peer: call.address, error: getErrorMessage(err) })
    throw err
  }
}

/**
 * Takes a command that another VM passes on or an operator gives.
 *
 * An evacuation that was given up has not been accepted, and its operator may have ordered otherwise since. Changes of routes name
 * the version that they build on, and what servers said stays true: a server that leaves may say so only once.
 */
async function answerSubmit (control: FleetControl, command: RouteCommand, call: RpcCall): Promise<ChangeAnswer> {
  if (command.type === 'evacuate') await lookBefore(control, 'fleet.submit', call)
  return await submitRouteCommand(control, command, true)
}

async function answerWatch (control: FleetControl, loop: PresenceLoop, request: WatchRequest, call: RpcCall): Promise<WatchReply> {
  const isNews = noteWatching(control.presence, request.self, getCurrentTime())
  if (isNews) loop.urge()
  if (request.load !== undefined) addLoadReport(control.intake, request.self.name, request.self.region, request.load, getCurrentTime())
  const startedAt = getCurrentTime()
  if (request.version === 0) await waitUntilCurrent(control, request.waitMs, call.gone)
  if (control.host.machine.config.version <= request.version) await waitForNews(control, request, call.gone)
  // Timers run before sockets are read: a VM that stood still ends its waits before it hears who has left.
  if (getCurrentTime() - startedAt > request.waitMs + stillMs) await lookBefore(control, 'fleet.watch', call)
  if (call.gone.aborted) throw new LynxError('cancelled', 'its sender closed the connection', { step: 'fleet.watch', peer: call.address })
  if (request.version > 0 && control.host.machine.config.version > request.version) await delay(gatherMs)
  const { config } = control.host.machine
  const age = getStateAge(control, getCurrentTime())
  return {
    delta: config.version > request.version ? getDeltaSince(config, request.version) : undefined,
    ageMs: Number.isFinite(age) ? age : null,
    controls: control.node.controls,
    entries: [...control.presence.entries.keys()],
    news: omitKnownWeights(control.board.news, request.weights)
  }
}

async function waitForNews (control: FleetControl, request: WatchRequest, gone: CancelSignal): Promise<void> {
  const from = Math.max(request.version, control.host.machine.config.version)
  await waitForProgress(control, request.waitMs, gone, () => control.host.machine.config.version > from)
}

/**
 * Holds the first watch of an entry VM until this VM's copy is the present state.
 *
 * What can go wrong: all VMs start at one moment. Entry VMs ask again and again while the control VMs elect a leader, and their
 * questions take the processor time that the election needs. It shows as many lines of VMs that follow a control VM without a
 * version. Held, each asks once and hears at once.
 */
async function waitUntilCurrent (control: FleetControl, waitMs: Millis, gone: CancelSignal): Promise<void> {
  const isCurrent = (): boolean => getStateAge(control, getCurrentTime()) < control.node.cfg.times.staleMs
  // A disk that was emptied gets the state from a leader, which takes seconds: another VM has it sooner.
  if (control.host.replica !== undefined && !isCurrent()) await waitForProgress(control, waitMs, gone, isCurrent)
}

/** Waits until the copy went on to a state that is asked for, the time is over or the caller has left. */
async function waitForProgress (control: FleetControl, waitMs: Millis, gone: CancelSignal, isReached: () => boolean): Promise<void> {
  if (gone.aborted) return
  const { progressListeners } = control.host
  await new Promise<void>(resolve => {
    const finish = (): void => {
      clearTimeout(timer)
      gone.off('abort', finish)
      const place = progressListeners.indexOf(check)
      if (place >= 0) progressListeners.splice(place, 1)
      resolve()
    }
    const check = (): void => { if (isReached()) queueMicrotask(finish) }
    const timer = setTimeout(finish, waitMs)
    progressListeners.push(check)
    gone.once('abort', finish)
  })
}
