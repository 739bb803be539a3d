/** Exchanges presence with the leader periodically. The leader also detects silent servers in its exchanges. */
import { getErrorMessage } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { listPresentBackends } from '@lynxcourse/state'
import { readPlacement, writePlacement } from '../../plugins/placementFile.js'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { isLeading } from '../control/hostState.js'
import { pruneTeamBuckets } from '../control/permitIssuing.js'
import { delay } from '../node/timers.js'
import { callPeer } from '../rpc/rpcClient.js'
import { getLeaderAddress, submitFleetCommand } from './fleetControl.js'
import type { FleetControl } from './fleetControl.js'
import { describeLoadChanges, applyDigest, flushDigest, storeLoadUpdate, flushPlanLines, updateBoard } from '@lynxcourse/placement'
import type { EntryPresence } from '@lynxcourse/placement'
import { countOpenSlots, listKnownServers } from './serverSlots.js'
import { findMissedServers, getLeaderEntriesConfirmedAt, recordEntry, recordReported, prunePresence, listUnreportedEntries, applyPresenceReport } from './presence.js'
import type { PresenceSummary, PresenceReply, PresenceReport } from './presence.js'
import { recordRolloutReports, resetRolloutLeader } from './rolloutLeader.js'
import { advanceRollouts, hasRunningRollouts } from './rolloutTask.js'

/** Delay before an urgent exchange. */
const urgentDelayMs = 60

/** Interval at which the placement is saved to disk; only a few objects move in that time. */
const saveIntervalMs: Millis = 3000

/** The periodic exchange of presence. */
export interface PresenceExchange extends AsyncDisposable {
  /** Starts the next exchange early, for example because an entry VM has started or is stopping. */
  exchangeSoon: () => void
}

export function startPresenceExchange (control: FleetControl): PresenceExchange {
  const { presenceMs } = control.node.cfg.times
  const state = { stopped: false }
  let wake: (() => void) | undefined
  const pause = async (): Promise<void> => await new Promise(resolve => {
    const timer = setTimeout(resolve, hasRunningRollouts(control) ? presenceMs / 2 : presenceMs)
    wake = () => { clearTimeout(timer); setTimeout(resolve, urgentDelayMs) }
  })
  const run = async (): Promise<void> => {
    await restorePlacement(control)
    while (!state.stopped) {
      await exchange(control).catch((err: unknown) => log(control.node.logs, 'member', 'debug', 'Presence exchange failed.', { error: getErrorMessage(err) }))
      savePlacement(control, getCurrentTime())
      await pause()
    }
  }
  const running = run()
  return {
    exchangeSoon: () => wake?.(),
    [Symbol.asyncDispose]: async () => {
      state.stopped = true
      wake?.()
      await Promise.race([running, delay(presenceMs)])
    }
  }
}

/** Loads the placement that was saved to disk, unless an update has already arrived. */
async function restorePlacement ({ node, board }: FleetControl): Promise<void> {
  const { dataFolder } = node.cfg
  if (dataFolder === undefined) return
  try {
    const saved = await readPlacement(dataFolder)
    if (saved === undefined || board.news.plans.length > 0) return
    storeLoadUpdate(board, saved, getCurrentTime())
    log(node.logs, 'member', 'info', 'Placement loaded.', { services: saved.plans.length, weights: saved.weights?.servers.length ?? 0 })
  } catch (err) {
    log(node.logs, 'member', 'warn', 'Placement could not be loaded; objects may move to other servers.', { error: getErrorMessage(err) })
  }
}

function savePlacement (control: FleetControl, now: Millis): void {
  const { node, board } = control
  const { dataFolder } = node.cfg
  if (dataFolder === undefined || board.news.plans.length === 0 || now - board.savedAt < saveIntervalMs) return
  board.savedAt = now
  // Not awaited: a slow disk must not delay the exchange, and the next write follows soon.
  writePlacement(dataFolder, board.news).catch((err: unknown) => log(node.logs, 'member', 'warn', 'Placement could not be saved.', { error: getErrorMessage(err) }))
}

async function exchange (control: FleetControl): Promise<void> {
  const { node, host, presence, loadAggregate, board } = control
  const now = getCurrentTime()
  prunePresence(presence, now)
  pruneTeamBuckets(control.permits, host, now)
  const report: PresenceReport = { from: { rpc: node.cfg.rpc, region: node.cfg.region }, entries: listUnreportedEntries(presence, now), heard: [...presence.heard], load: flushDigest(loadAggregate, now), weights: board.news.weights?.version ?? 0 }
  if (isLeading(host)) {
    presence.heard.clear()
    presence.unreported.clear()
    presence.lastExchangeAt = now
    confirmEntriesAsLeader(control)
    updateLoads(control, report, now)
    applyReply(control, applyPresenceReport(presence, report, now))
    recordRolloutReports(control.rollouts, report.load.rollouts)
    await Promise.all([submitMissedServers(control, now), advanceRollouts(control, now)])
    return
  }
  presence.leadingSince = undefined
  resetRolloutLeader(control.rollouts)
  const leader = getLeaderAddress(control)
  if (leader === undefined || leader === node.cfg.rpc) return
  const reply = await callPeer<PresenceReply>(node.client, leader, 'fleet.presence', report)
  presence.newsConfirmedAt = reply.newsAgeMs === null ? -Infinity : now - reply.newsAgeMs
  if (reply.entriesAgeMs !== null) presence.entriesConfirmedAt = now - reply.entriesAgeMs
  for (const id of report.heard) presence.heard.delete(id)
  recordReported(presence, report.entries)
  presence.lastExchangeAt = getCurrentTime()
  applyReply(control, reply)
  storeLoadUpdate(control.board, reply.news, getCurrentTime())
}

/** At the leader: records the age of its load update, and whether it knows all entry VMs. A new leader hears of them as they repeat their watches. */
export function confirmEntriesAsLeader ({ node, host, presence }: FleetControl): void {
  const confirmedAt = getLeaderEntriesConfirmedAt(presence, host.replica?.quorumConfirmedAt ?? -Infinity, node.cfg.times.presenceStaleMs)
  presence.entriesConfirmedAt = Math.max(presence.entriesConfirmedAt, confirmedAt)
  presence.newsConfirmedAt = Math.min(presence.lastExchangeAt, host.replica?.quorumConfirmedAt ?? -Infinity)
}

/** At the leader: updates the load board and logs what changes in the published update. */
function updateLoads (control: FleetControl, report: PresenceReport, now: Millis): void {
  const { node, host, board } = control
  const { config } = host.machine
  const previous = board.news
  applyDigest(board, node.cfg.rpc, report.load, now)
  const layout = { regions: node.cfg.regions, hasVersions: node.cfg.rollouts !== undefined }
  updateBoard(board, countOpenSlots(config, layout), listKnownServers(config, layout), listReadyEntries(control, now), now)
  for (const { service, region, near, demand, slots } of flushPlanLines(board)) {
    log(node.logs, 'shift', 'info', 'Region plan changed.', { service, from: region, near: Math.round(near * 1000) / 1000, demand: Math.round(demand), slots })
  }
  for (const { message, fields } of describeLoadChanges(previous, board.news)) log(node.logs, 'member', 'info', message, fields)
}

/** Lists the entry VMs among which the limits of servers are divided. */
function listReadyEntries ({ presence, node }: FleetControl, now: Millis): EntryPresence[] {
  const { presenceStaleMs } = node.cfg.times
  return [...presence.entries.values()].filter(entry => entry.presence.isReady && now - entry.lastSeenAt < presenceStaleMs).map(entry => entry.presence)
}

function applyReply (control: FleetControl, reply: PresenceSummary): void {
  const { node, presence } = control
  const now = getCurrentTime()
  for (const { presence: entry, ageMs } of reply.entries) recordEntry(presence, entry, now - ageMs)
  node.controls = reply.controls
}

/**
 * At the leader: submits the servers that were not seen for too long as missed. A new leader first clears the recorded
 * times, so that every server has `missMs` to announce itself again.
 */
async function submitMissedServers (control: FleetControl, now: number): Promise<void> {
  const { node, host, presence } = control
  if (presence.leadingSince === undefined) {
    presence.leadingSince = now
    presence.serverLastSeenAt.clear()
  }
  const missed = findMissedServers(presence, listPresentBackends(host.machine.config), node.cfg.times.missMs, now)
  if (missed.length > 0) await submitFleetCommand(control, { type: 'miss', ids: missed })
}
