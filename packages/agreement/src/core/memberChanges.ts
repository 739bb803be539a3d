/**
 * Changes of members, one at a time, worked out by the leader from the member list alone, so that a
 * new leader goes on where the last one stopped.
 *
 * What can go wrong: a VM that lost its disk has forgotten votes and entries that it acknowledged.
 * If it counted under its old name at once, a quorum could form that lacks a committed entry. So it
 * returns under a new incarnation, first as a learner; the old copy is removed before the new one
 * becomes a voter, since a swap in one step makes quorums that need not overlap.
 */
import { getHolderVm } from '@lynxcourse/base'
import type { HolderId, Millis } from '@lynxcourse/base'
import type { Member } from '../types/log.js'
import type { ReplicaOutput } from '../types/messages.js'
import { appendOwn, broadcast } from './leaderReplication.js'
import { isEstablishedLeader, lastIndex } from './replica.js'
import type { Replica } from './replica.js'

/** More voters make commits slower and bear more losses than failure domains are planned for. */
const mostVoters = 7

/** Proposes the next change of members, if one is due and none is under way. */
export function repairMembers (replica: Replica, now: Millis, out: ReplicaOutput): void {
  if (!isEstablishedLeader(replica)) return
  const changeUnderWay = replica.membersIndex > replica.commit
  if (changeUnderWay) return
  const members = planMembers(replica, now)
  if (members === undefined) return
  appendOwn(replica, { type: 'members', members }, now, out)
  broadcast(replica, now, out)
}

function planMembers (replica: Replica, now: Millis): readonly Member[] | undefined {
  return planLearner(replica) ?? planPromotion(replica, now) ?? planRemoval(replica, now)
}

/** A voter silent for this many election time-outs may be replaced by a copy that holds the log; some seconds, longer than a restart takes. */
const silentTimeouts = 8
/** Below this the group bears no loss at all, so nobody is removed. */
const leastVoters = 3

/**
 * Removes a voter that fell silent for good. One of an even number adds nothing to the losses that the
 * group bears, and makes each quorum wait for one copy more; one of an odd number goes only when a
 * learner that holds the log is ready to take its place. A copy that was only cut off asks to be let in
 * again as a learner.
 */
function planRemoval (replica: Replica, now: Millis): readonly Member[] | undefined {
  const voters = replica.members.filter(member => member.voter)
  if (voters.length <= leastVoters) return undefined
  const hasSuccessor = replica.members.some(member => !member.voter && isCaughtUp(replica, member.id, now))
  if (voters.length % 2 === 1 && !hasSuccessor) return undefined
  const silent = voters.find(member => member.id !== replica.id && isSilent(replica, member.id, now))
  return silent === undefined ? undefined : replica.members.filter(member => member !== silent)
}

function isSilent (replica: Replica, id: HolderId, now: Millis): boolean {
  const progress = replica.progress.get(id)
  return progress !== undefined && now - progress.heardAt > replica.times.electionMs * silentTimeouts
}

function planLearner (replica: Replica): readonly Member[] | undefined {
  for (const id of replica.joining) {
    replica.joining.delete(id)
    if (replica.members.some(member => member.id === id)) continue
    const vm = getHolderVm(id)
    // Learners count in no quorum, so an outdated one of the same VM may go in the same step.
    const kept = replica.members.filter(member => member.voter || getHolderVm(member.id) !== vm)
    return [...kept, { id, voter: false }]
  }
  return undefined
}

function planPromotion (replica: Replica, now: Millis): readonly Member[] | undefined {
  for (const learner of replica.members) {
    if (learner.voter || !isCaughtUp(replica, learner.id, now)) continue
    const vm = getHolderVm(learner.id)
    const outdated = replica.members.find(member => member.voter && getHolderVm(member.id) === vm)
    if (outdated !== undefined) return replica.members.filter(member => member !== outdated)
    if (replica.members.filter(member => member.voter).length >= mostVoters) continue
    return replica.members.map(member => member === learner ? { id: member.id, voter: true } : member)
  }
  return undefined
}

/** Whether a learner has synced all that is in the leader's log and was heard just now. */
function isCaughtUp (replica: Replica, id: HolderId, now: Millis): boolean {
  const progress = replica.progress.get(id)
  if (progress === undefined) return false
  const heardNow = now - progress.heardAt < replica.times.electionMs
  return heardNow && progress.match >= replica.commit && progress.match >= lastIndex(replica)
}
