/** What the leader does besides agreeing: plans shares of caps, and moves drains and shifts on. */
import { getErrorMessage } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { createGrantor, planShares } from '@lynxcourse/limits'
import { listCaps, listItems } from '@lynxcourse/state'
import { FixedStepRule, HeadroomStepRule } from '@lynxcourse/steering'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import type { Node } from '../node/node.js'
import { repeat } from '../node/timers.js'
import { moveDrain } from './drainTask.js'
import type { ControlHost } from './hostState.js'
import { longestRequestMs, mayGrant } from './leaderState.js'
import type { LeaderDuties } from './leaderState.js'
import { proposeCommand } from './proposals.js'
import { moveShift } from './shiftTask.js'
import { noteVersion } from './versionsInForce.js'

const everyMs = 200

/** Starts the duties; they rest while this VM does not lead. */
export function startDuties (node: Node, host: ControlHost): LeaderDuties {
  const duties: LeaderDuties = {
    node,
    host,
    rule: node.cfg.stepRule === 'fixed' ? new FixedStepRule() : new HeadroomStepRule(),
    grantor: createGrantor(node.cfg.times.grantMs, 0),
    reports: new Map(),
    drainsSeen: new Map(),
    versions: [],
    leadingSince: undefined,
    readings: new Map(),
    [Symbol.asyncDispose]: async () => await timer[Symbol.asyncDispose]()
  }
  host.progressListeners.push(() => noteVersion(duties))
  const timer = repeat(everyMs, async () => await doDuties(duties), err => {
    log(node.logs, 'agree', 'warn', 'A duty failed.', { error: getErrorMessage(err) })
  })
  return duties
}

async function doDuties (duties: LeaderDuties): Promise<void> {
  const now = getCurrentTime()
  if (!mayGrant(duties.host, now)) {
    restDuties(duties)
    return
  }
  duties.leadingSince ??= now
  duties.grantor = { ...duties.grantor, maxRequestMs: longestRequestMs(duties) }
  dropOldReports(duties, now)
  await planLimits(duties, now)
  for (const drain of listItems(duties.host.machine.config, 'drain')) await moveDrain(duties, drain, now)
  for (const shift of listItems(duties.host.machine.config, 'shift')) await moveShift(duties, shift, now)
}

function restDuties (duties: LeaderDuties): void {
  if (duties.leadingSince === undefined) return
  duties.leadingSince = undefined
  duties.reports.clear()
  duties.drainsSeen.clear()
  duties.readings.clear()
  duties.grantor = createGrantor(duties.node.cfg.times.grantMs, 0)
}

function dropOldReports (duties: LeaderDuties, now: Millis): void {
  const keepMs = duties.node.cfg.times.leaseMs + longestRequestMs(duties)
  for (const [holder, held] of duties.reports) {
    if (now - held.at > keepMs) duties.reports.delete(holder)
  }
}

async function planLimits (duties: LeaderDuties, now: Millis): Promise<void> {
  const { machine } = duties.host
  const plan = planShares(duties.grantor, listCaps(machine.config), machine.allocations.byResource, machine.applied, now)
  if (plan === undefined) return
  await proposeCommand(duties.host, { type: 'allocate', ...plan })
  log(duties.node.logs, 'limit', 'info', 'Shares planned.', { changes: plan.changes.length, lapsed: plan.lapsed.length })
}
