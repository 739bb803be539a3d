/** Exchanges presence with the leader, and at the leader notes servers that fell silent. */
import { getErrorMessage } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { listPresentBackends } from '@lynxcourse/state'
import { readPlacement, writePlacement } from '../../plugins/placementFile.js'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { isLeading } from '../control/hostState.js'
import { delay } from '../node/timers.js'
import { callPeer } from '../rpc/rpcClient.js'
import { leaderOf, submitRouteCommand } from './fleetControl.js'
import type { FleetControl } from './fleetControl.js'
import { describeLoadChanges, applyDigest, flushDigest, storeLoadUpdate, flushPlanLines, updateBoard } from '@lynxcourse/placement'
import { openSlots, serverPlaces } from './serverSlots.js'
import { missedServers, noteEntry, noteReported, prunePresence, reportedEntries, takePresenceReport } from './presence.js'
import type { PresenceNews, PresenceReply, PresenceReport } from './presence.js'

/** Least time between two exchanges when something new makes one urgent. */
const urgentMs = 60

/** What VMs were told of the placement is kept on disk this often; it moves by some objects in that time. */
const keepEveryMs: Millis = 3000

/** The running exchange. */
export interface PresenceLoop extends AsyncDisposable {
  /** Exchanges soon, since an entry VM came or leaves. */
  urge: () => void
}

export function startPresence (control: FleetControl): PresenceLoop {
  const { presenceMs } = control.node.cfg.times
  const state = { stopped: false }
  let wake: (() => void) | undefined
  const pause = async (): Promise<void> => await new Promise(resolve => {
    const timer = setTimeout(resolve, presenceMs)
    wake = () => { clearTimeout(timer); setTimeout(resolve, urgentMs) }
  })
  const run = async (): Promise<void> => {
    await restorePlacement(control)
    while (!state.stopped) {
      await exchange(control).catch((err: unknown) => log(control.node.logs, 'member', 'debug', 'Presence not exchanged.', { error: getErrorMessage(err) }))
      keepPlacement(control, getCurrentTime())
      await pause()
    }
  }
  const running = run()
  return {
    urge: () => wake?.(),
    [Symbol.asyncDispose]: async () => {
      state.stopped = true
      wake?.()
      await Promise.race([running, delay(presenceMs)])
    }
  }
}

/** Goes on from the placement that this disk kept, until there is word of a newer one. */
async function restorePlacement ({ node, board }: FleetControl): Promise<void> {
  const { dataFolder } = node.cfg
  if (dataFolder === undefined) return
  try {
    const kept = await readPlacement(dataFolder)
    if (kept === undefined || board.news.plans.length > 0) return
    storeLoadUpdate(board, kept)
    log(node.logs, 'member', 'info', 'Placement read.', { services: kept.plans.length, weights: kept.weights?.servers.length ?? 0 })
  } catch (err) {
    log(node.logs, 'member', 'warn', 'Placement not read; objects may get other servers.', { error: getErrorMessage(err) })
  }
}

function keepPlacement (control: FleetControl, now: Millis): void {
  const { node, board } = control
  const { dataFolder } = node.cfg
  if (dataFolder === undefined || board.news.plans.length === 0 || now - board.savedAt < keepEveryMs) return
  board.savedAt = now
  // A disk that stalls must not hold the exchange up; the next write comes soon.
  writePlacement(dataFolder, board.news).catch((err: unknown) => log(node.logs, 'member', 'warn', 'Placement not kept.', { error: getErrorMessage(err) }))
}

async function exchange (control: FleetControl): Promise<void> {
  const { node, host, presence, intake, board } = control
  const now = getCurrentTime()
  prunePresence(presence, now)
  const report: PresenceReport = { from: { rpc: node.cfg.rpc, region: node.cfg.region }, entries: reportedEntries(presence, now), heard: [...presence.heard], load: flushDigest(intake, now), weights: board.news.weights?.version ?? 0 }
  if (isLeading(host)) {
    presence.heard.clear()
    presence.watching.clear()
    presence.exchangedAt = now
    putLoadsTogether(control, report, now)
    takeReply(control, takePresenceReport(presence, report, now))
    await noteMissed(control, now)
    return
  }
  presence.leadingSince = undefined
  const leader = leaderOf(control)
  if (leader === undefined || leader === node.cfg.rpc) return
  const reply = await callPeer<PresenceReply>(node.client, leader, 'fleet.presence', report)
  for (const id of report.heard) presence.heard.delete(id)
  noteReported(presence, report.entries)
  presence.exchangedAt = getCurrentTime()
  takeReply(control, reply)
  storeLoadUpdate(control.board, reply.news)
}

/** The leader's part: the board of loads, and a line for each thing that it now tells otherwise. */
function putLoadsTogether (control: FleetControl, report: PresenceReport, now: Millis): void {
  const { node, host, board } = control
  const { config } = host.machine
  const before = board.news
  applyDigest(board, node.cfg.rpc, report.load, now)
  updateBoard(board, openSlots(config, node.cfg.regions), serverPlaces(config, node.cfg.regions), now)
  for (const { service, region, near, demand, slots } of flushPlanLines(board)) {
    log(node.logs, 'shift', 'info', 'Region plan moved.', { service, from: region, near: Math.round(near * 1000) / 1000, demand: Math.round(demand), slots })
  }
  for (const { message, fields } of describeLoadChanges(before, board.news)) log(node.logs, 'member', 'info', message, fields)
}

function takeReply (control: FleetControl, reply: PresenceNews): void {
  const { node, presence } = control
  const now = getCurrentTime()
  for (const { presence: entry, ageMs } of reply.entries) noteEntry(presence, entry, now - ageMs)
  node.controls = reply.controls
}

/** A new leader has heard of nobody yet: it starts to count only now. */
async function noteMissed (control: FleetControl, now: number): Promise<void> {
  const { node, host, presence } = control
  if (presence.leadingSince === undefined) {
    presence.leadingSince = now
    presence.heardAt.clear()
  }
  const missed = missedServers(presence, listPresentBackends(host.machine.config), node.cfg.times.missMs, now)
  if (missed.length > 0) await submitRouteCommand(control, { type: 'miss', ids: missed })
}
