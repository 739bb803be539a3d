/** The periodic tasks of the leader: planning the shares of caps, and advancing drains and shifts. */
import { getErrorMessage } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { createGrantor, planShares } from '@lynxcourse/limits'
import { listCaps, listItems } from '@lynxcourse/state'
import { FixedStepRule, HeadroomStepRule } from '@lynxcourse/steering'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import type { Node } from '../node/node.js'
import { repeat } from '../node/timers.js'
import { advanceDrain } from './drainTask.js'
import type { ControlHost } from './hostState.js'
import { getMaxRequestMs, mayGrant } from './leaderState.js'
import type { LeaderTasks } from './leaderState.js'
import { proposeCommand } from './proposals.js'
import { advanceShift } from './shiftTask.js'
import { recordAppliedVersion } from './versionsInForce.js'

const taskIntervalMs = 200

/** Starts the leader tasks; they do nothing while this VM may not issue grants. */
export function startLeaderTasks (node: Node, host: ControlHost): LeaderTasks {
  const tasks: LeaderTasks = {
    node,
    host,
    stepRule: node.cfg.stepRule === 'fixed' ? new FixedStepRule() : new HeadroomStepRule(),
    grantor: createGrantor(node.cfg.times.grantMs, 0),
    reports: new Map(),
    drainsFirstSeenAt: new Map(),
    appliedVersions: [],
    leadingSince: undefined,
    shiftReadings: new Map(),
    [Symbol.asyncDispose]: async () => await timer[Symbol.asyncDispose]()
  }
  host.progressListeners.push(() => recordAppliedVersion(tasks))
  const timer = repeat(taskIntervalMs, async () => await runTasks(tasks), err => {
    log(node.logs, 'agree', 'warn', 'Leader task failed.', { error: getErrorMessage(err) })
  })
  return tasks
}

async function runTasks (tasks: LeaderTasks): Promise<void> {
  const now = getCurrentTime()
  if (!mayGrant(tasks.host, now)) {
    resetTasks(tasks)
    return
  }
  tasks.leadingSince ??= now
  tasks.grantor = { ...tasks.grantor, maxRequestMs: getMaxRequestMs(tasks) }
  dropStaleReports(tasks, now)
  await planLimits(tasks, now)
  for (const drain of listItems(tasks.host.machine.config, 'drain')) await advanceDrain(tasks, drain, now)
  for (const shift of listItems(tasks.host.machine.config, 'shift')) await advanceShift(tasks, shift, now)
}

function resetTasks (tasks: LeaderTasks): void {
  if (tasks.leadingSince === undefined) return
  tasks.leadingSince = undefined
  tasks.reports.clear()
  tasks.drainsFirstSeenAt.clear()
  tasks.shiftReadings.clear()
  tasks.grantor = createGrantor(tasks.node.cfg.times.grantMs, 0)
}

function dropStaleReports (tasks: LeaderTasks, now: Millis): void {
  const maxAgeMs = tasks.node.cfg.times.leaseMs + getMaxRequestMs(tasks)
  for (const [holder, received] of tasks.reports) {
    if (now - received.at > maxAgeMs) tasks.reports.delete(holder)
  }
}

async function planLimits (tasks: LeaderTasks, now: Millis): Promise<void> {
  const { machine } = tasks.host
  const plan = planShares(tasks.grantor, listCaps(machine.config), machine.allocations.byResource, machine.applied, now)
  if (plan === undefined) return
  await proposeCommand(tasks.host, { type: 'allocate', ...plan })
  log(tasks.node.logs, 'limit', 'info', 'Shares planned.', { changes: plan.changes.length, lapsed: plan.lapsed.length })
}
