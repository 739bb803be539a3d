/** The RPC methods of a fleet's control VMs. */
import { deltaSince } from '@lynxcourse/state'
import type { ConfigDelta, RouteCommand } from '@lynxcourse/state'
import type { Millis } from '@lynxcourse/base'
import type { EntryPresence } from '@lynxcourse/routing'
import { z } from 'zod'
import { presentTime } from '../../utils/clock.js'
import { addressSchema } from '../../types/settings.js'
import { addMethod } from '../rpc/rpcServer.js'
import type { RpcServer } from '../rpc/rpcServer.js'
import { readRoutes, stateAge, submitRouteCommand } from './fleetControl.js'
import type { FleetControl } from './fleetControl.js'
import type { ControlPlace } from './fleetNode.js'
import { noteEntry, takePresenceReport } from './presence.js'
import type { PresenceReport } from './presence.js'
import type { PresenceLoop } from './presenceLoop.js'

/** What an entry VM asks: news after a version, held open until there is some. */
export interface WatchRequest {
  readonly version: number
  readonly waitMs: Millis
  readonly self: EntryPresence
}

export interface WatchReply {
  readonly delta: ConfigDelta | undefined
  /** How long ago the answering VM's state was known to be the present one. */
  readonly ageMs: Millis | null
  readonly controls: readonly ControlPlace[]
  /** Names of the entry VMs. */
  readonly entries: readonly string[]
}

const text = z.string().min(1).max(200)
const presenceSchema = z.strictObject({ name: text, address: addressSchema, failureDomain: text, region: text, isReady: z.boolean() })
const watchSchema = z.strictObject({ version: z.number().int().min(0), waitMs: z.number().min(0).max(10_000), self: presenceSchema })
const reportSchema = z.strictObject({
  from: z.strictObject({ rpc: addressSchema, region: text }),
  entries: z.array(z.strictObject({ presence: presenceSchema, ageMs: z.number().min(0) })).max(10_000),
  heard: z.array(text).max(100_000)
})
/** Commands come from control VMs, which checked them where they entered. */
const submitSchema = z.strictObject({ command: z.looseObject({ type: z.enum(['replaceRoutes', 'updateRoutes', 'evacuate', 'announce', 'dismiss', 'miss']) }) })

/** Adds the methods. */
export function addFleetMethods (rpc: RpcServer, control: FleetControl, loop: PresenceLoop): void {
  addMethod(rpc, 'fleet.watch', ['vm'], watchSchema, async params => await answerWatch(control, loop, params as unknown as WatchRequest))
  addMethod(rpc, 'fleet.submit', ['vm', 'operator'], submitSchema, async params => await submitRouteCommand(control, params.command as unknown as RouteCommand, true))
  addMethod(rpc, 'fleet.read', ['vm', 'operator'], z.strictObject({}), async () => await readRoutes(control, true))
  addMethod(rpc, 'fleet.presence', ['vm'], reportSchema, params => takePresenceReport(control.presence, params as unknown as PresenceReport, presentTime()))
}

async function answerWatch (control: FleetControl, loop: PresenceLoop, request: WatchRequest): Promise<WatchReply> {
  const isNews = noteEntry(control.presence, request.self, presentTime())
  if (isNews) loop.urge()
  if (control.host.machine.config.version <= request.version) await waitForNews(control, request)
  const { config } = control.host.machine
  const age = stateAge(control, presentTime())
  return {
    delta: config.version > request.version ? deltaSince(config, request.version) : undefined,
    ageMs: Number.isFinite(age) ? age : null,
    controls: control.node.controls,
    entries: [...control.presence.entries.keys()]
  }
}

async function waitForNews (control: FleetControl, request: WatchRequest): Promise<void> {
  const { onProgress, machine } = control.host
  const from = Math.max(request.version, machine.config.version)
  await new Promise<void>(resolve => {
    const finish = (): void => {
      clearTimeout(timer)
      const place = onProgress.indexOf(check)
      if (place >= 0) onProgress.splice(place, 1)
      resolve()
    }
    const check = (): void => { if (control.host.machine.config.version > from) queueMicrotask(finish) }
    const timer = setTimeout(finish, request.waitMs)
    onProgress.push(check)
  })
}
