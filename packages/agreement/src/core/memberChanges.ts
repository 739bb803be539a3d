/**
 * Membership changes, one member at a time. The leader derives each change from the member list alone, so that a new
 * leader continues where the previous one stopped.
 *
 * A VM that lost its disk has lost the record of its votes and the entries that it acknowledged. If it counted as the
 * same voter again, a quorum that lacks a committed entry could form. Therefore the VM returns under a new incarnation,
 * first as a learner. Its old copy can't return. It is removed when the new one joins, before that one has any entries: as long as
 * it counts as a voter, the loss of other disks can leave too few voters for a quorum. The new copy becomes a voter in a
 * step of its own, because a swap in one step allows quorums that don't overlap.
 */
import { getHolderVm } from '@lynxcourse/base'
import type { HolderId, Millis, VmId } from '@lynxcourse/base'
import type { Member } from '../types/log.js'
import type { ReplicaOutput } from '../types/messages.js'
import { appendEntry, broadcast } from './leaderReplication.js'
import { isEstablishedLeader } from './replica.js'
import type { Replica } from './replica.js'
import { isAlmostCaughtUp } from './sendWindow.js'

/** More voters would slow down commits and tolerate the loss of more failure domains than deployments plan for. */
const maxVoters = 7

/** Proposes the next membership change, if one is due and no other is in progress. */
export function proposeMemberChange (replica: Replica, now: Millis, out: ReplicaOutput): void {
  if (!isEstablishedLeader(replica)) return
  const isChangeInProgress = replica.membersIndex > replica.commit
  if (isChangeInProgress) return
  const members = planMemberChange(replica, now)
  if (members === undefined) return
  appendEntry(replica, { type: 'members', members }, now, out)
  broadcast(replica, now, out)
}

function planMemberChange (replica: Replica, now: Millis): readonly Member[] | undefined {
  return planLearner(replica, now) ?? planReplacement(replica, now) ?? planPromotion(replica, now) ?? planRemoval(replica, now)
}

/** Number of election timeouts without an answer after which a voter may be removed; a few seconds, longer than a restart takes. */
const silentElectionTimeouts = 8
/** With fewer voters, the cluster tolerates no failure; at this number, no voter is removed. */
const minVoters = 3

/**
 * Plans the removal of a voter that has been silent for a long time. With an even number of voters, the silent one adds
 * no fault tolerance and makes each quorum larger by one copy. With an odd number, the voter is removed only if a
 * caught-up learner can replace it. A removed copy that was only partitioned joins again as a learner.
 */
function planRemoval (replica: Replica, now: Millis): readonly Member[] | undefined {
  const voters = replica.members.filter(member => member.voter)
  if (voters.length <= minVoters) return undefined
  const hasSuccessor = replica.members.some(member => !member.voter && isCaughtUp(replica, member.id, now))
  if (voters.length % 2 === 1 && !hasSuccessor) return undefined
  const silent = voters.find(member => member.id !== replica.id && isSilent(replica, member.id, silentElectionTimeouts, now))
  return silent === undefined ? undefined : replica.members.filter(member => member !== silent)
}

function isSilent (replica: Replica, id: HolderId, electionTimeouts: number, now: Millis): boolean {
  const progress = replica.progress.get(id)
  return progress !== undefined && now - progress.lastSeenAt > replica.times.electionMs * electionTimeouts
}

/** Whether a voter is an earlier copy of a VM that has joined again with an empty disk. A copy that still answers is none. */
function isReplaced (replica: Replica, member: Member, vm: VmId, now: Millis): boolean {
  return member.voter && member.id !== replica.id && getHolderVm(member.id) === vm && isSilent(replica, member.id, 1, now)
}

function planLearner (replica: Replica, now: Millis): readonly Member[] | undefined {
  for (const id of replica.joinRequests) {
    replica.joinRequests.delete(id)
    if (replica.members.some(member => member.id === id)) continue
    const vm = getHolderVm(id)
    // Learners don't count towards quorums, so the step can add one and remove another one together with one voter.
    const remaining = replica.members.filter(member => getHolderVm(member.id) !== vm || (member.voter && !isReplaced(replica, member, vm, now)))
    return [...remaining, { id, voter: false }]
  }
  return undefined
}

/** Plans the removal of a voter whose VM has a new copy, if it was not known to be gone yet when that copy joined. */
function planReplacement (replica: Replica, now: Millis): readonly Member[] | undefined {
  for (const learner of replica.members) {
    if (learner.voter) continue
    const replaced = replica.members.find(member => isReplaced(replica, member, getHolderVm(learner.id), now))
    if (replaced !== undefined) return replica.members.filter(member => member !== replaced)
  }
  return undefined
}

function planPromotion (replica: Replica, now: Millis): readonly Member[] | undefined {
  for (const learner of replica.members) {
    if (learner.voter || !isCaughtUp(replica, learner.id, now)) continue
    const vm = getHolderVm(learner.id)
    if (replica.members.some(member => member.voter && getHolderVm(member.id) === vm)) continue
    if (replica.members.filter(member => member.voter).length >= maxVoters) continue
    return replica.members.map(member => member === learner ? { id: member.id, voter: true } : member)
  }
  return undefined
}

/**
 * Whether a member has answered within the last election timeout and has synced the leader's log, but for entries that fit into one
 * message: while changes go on, no member but the leader has all of it.
 */
function isCaughtUp (replica: Replica, id: HolderId, now: Millis): boolean {
  const progress = replica.progress.get(id)
  if (progress === undefined) return false
  const isRecentlySeen = now - progress.lastSeenAt < replica.times.electionMs
  return isRecentlySeen && isAlmostCaughtUp(replica, progress)
}
