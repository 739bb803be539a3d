/** Hands leadership over before a control VM stops. */
import { voters } from '@lynxcourse/agreement'
import type { Millis } from '@lynxcourse/base'
import { getCurrentTime } from '../../utils/clock.js'
import { delay } from '../node/timers.js'
import { handOverLeadership } from './controlHost.js'
import { findLeader, isLeading } from './hostState.js'
import type { ControlHost } from './hostState.js'

/** Longest wait until the proposals in progress are committed. */
const maxProposalWaitMs: Millis = 300
const pollMs: Millis = 5

/**
 * Lets another voter lead, if this VM leads and there is another. Otherwise the group could confirm nothing until it has noticed
 * that its leader is gone and has elected another.
 *
 * Proposals are refused meanwhile: a voter that lacks an entry which others have can't win their votes.
 *
 * Returns when this VM has heard the new leader, or after the length of an election.
 */
export async function resignLeadership (host: ControlHost): Promise<void> {
  const { replica } = host
  if (replica === undefined || !isLeading(host) || voters(replica).length < 2) return
  host.isResigning = true
  await waitWhile(() => hasProposals(host), maxProposalWaitMs)
  if (host.replica === replica) handOverLeadership(host, replica)
  await waitWhile(() => !hasSuccessor(host), host.env.times.electionMs)
  host.isResigning = false
}

/** Whether this VM has heard another one as the leader. */
function hasSuccessor (host: ControlHost): boolean {
  const leader = findLeader(host, getCurrentTime())
  return leader !== undefined && leader !== host.id
}

function hasProposals ({ proposals, appendedProposals }: ControlHost): boolean {
  return proposals.length + appendedProposals.size > 0
}

async function waitWhile (condition: () => boolean, maxMs: Millis): Promise<void> {
  const deadline = getCurrentTime() + maxMs
  while (condition() && getCurrentTime() < deadline) await delay(pollMs)
}
