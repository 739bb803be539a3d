/** The leader task that advances drains. */
import type { Millis } from '@lynxcourse/base'
import { listItems } from '@lynxcourse/state'
import type { DrainItem } from '@lynxcourse/state'
import { evaluateDrain } from '@lynxcourse/steering'
import type { DrainStatus } from '@lynxcourse/steering'
import { log } from '../../utils/logging.js'
import { getMaxRequestMs, listVmProgress } from './leaderState.js'
import type { LeaderTasks } from './leaderState.js'
import { proposeCommand } from './proposals.js'

/** Returns the progress of a drain according to the VMs' reports. */
export function getDrainStatus (tasks: LeaderTasks, drain: DrainItem, now: Millis): DrainStatus {
  const { config } = tasks.host.machine
  const version = config.items.get(`drain ${drain.key}`)?.version ?? 0
  const firstSeenAt = tasks.drainsFirstSeenAt.get(drain.key) ?? now
  const leaseMs = tasks.node.cfg.times.leaseMs + getMaxCacheMs(tasks, drain)
  return evaluateDrain({ id: drain.key, state: drain.state, at: drain.at, version, firstSeenAt }, listVmProgress(tasks), leaseMs, getMaxRequestMs(tasks), now)
}

/** Returns how long callers may still use the drained target from their caches; they cache VMs, but not servers. */
function getMaxCacheMs (tasks: LeaderTasks, drain: DrainItem): Millis {
  if (drain.target.kind === 'server') return 0
  const ttls = listItems(tasks.host.machine.config, 'profile').map(item => item.profile.lookupTtlS * 1000)
  return Math.max(0, ...ttls)
}

/** Advances a drain if it is due or empty, and records when this leader first saw it in the state `draining`. */
export async function advanceDrain (tasks: LeaderTasks, drain: DrainItem, now: Millis): Promise<void> {
  if (drain.state !== 'scheduled' && drain.state !== 'draining') {
    tasks.drainsFirstSeenAt.delete(drain.key)
    return
  }
  if (drain.state === 'draining' && !tasks.drainsFirstSeenAt.has(drain.key)) tasks.drainsFirstSeenAt.set(drain.key, now)
  const { event, remaining } = getDrainStatus(tasks, drain, now)
  if (event === undefined) return
  await proposeCommand(tasks.host, { type: 'advanceDrain', drain: drain.key, event })
  log(tasks.node.logs, 'drain', 'info', 'Drain advanced.', { drain: drain.key, event, remaining })
}
