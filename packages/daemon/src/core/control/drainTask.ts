/** The leader moves drains on. */
import type { Millis } from '@lynxcourse/base'
import { listItems } from '@lynxcourse/state'
import type { DrainItem } from '@lynxcourse/state'
import { evaluateDrain } from '@lynxcourse/steering'
import type { DrainStatus } from '@lynxcourse/steering'
import { log } from '../../utils/logging.js'
import { longestRequestMs, progressList } from './leaderState.js'
import type { LeaderDuties } from './leaderState.js'
import { proposeCommand } from './proposals.js'

/** Judges a drain now. */
export function judgeItem (duties: LeaderDuties, drain: DrainItem, now: Millis): DrainStatus {
  const { config } = duties.host.machine
  const version = config.items.get(`drain ${drain.key}`)?.version ?? 0
  const seenAt = duties.drainsSeen.get(drain.key) ?? now
  const leaseMs = duties.node.cfg.times.leaseMs + cacheMs(duties, drain)
  return evaluateDrain({ id: drain.key, state: drain.state, at: drain.at, version, firstSeenAt: seenAt }, progressList(duties), leaseMs, longestRequestMs(duties), now)
}

/** Callers go on using VMs that they have in their caches; servers are in no caller's cache. */
function cacheMs (duties: LeaderDuties, drain: DrainItem): Millis {
  if (drain.target.kind === 'server') return 0
  const ttls = listItems(duties.host.machine.config, 'profile').map(item => item.profile.lookupTtlS * 1000)
  return Math.max(0, ...ttls)
}

/** Moves a drain on if it is due. */
export async function moveDrain (duties: LeaderDuties, drain: DrainItem, now: Millis): Promise<void> {
  if (drain.state !== 'scheduled' && drain.state !== 'draining') {
    duties.drainsSeen.delete(drain.key)
    return
  }
  if (drain.state === 'draining' && !duties.drainsSeen.has(drain.key)) duties.drainsSeen.set(drain.key, now)
  const { event, remaining } = judgeItem(duties, drain, now)
  if (event === undefined) return
  await proposeCommand(duties.host, { type: 'advanceDrain', drain: drain.key, event })
  log(duties.node.logs, 'drain', 'info', 'Drain moves on.', { drain: drain.key, event, remaining })
}
