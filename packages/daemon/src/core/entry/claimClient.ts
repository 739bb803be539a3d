/**
 * The entry VM's side of claims of request ids: sends commands to the leader in batches and repeats them, with the same
 * token, until an answer arrives or the deadline passes. A repeated claim by the same holder gets the first answer again,
 * so a lost answer costs only time.
 */
import { LynxError, isLynxError, getErrorMessage } from '@lynxcourse/base'
import type { Millis, RequestId } from '@lynxcourse/base'
import type { ClaimAnswer, ClaimCommand, ClaimOutcome, StoredAnswer, SettleAnswer, SettleCommand } from '@lynxcourse/state'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { maxClaimBatch } from '../node/claimService.js'
import type { ClaimReply } from '../node/claimService.js'
import { getLeaderAddress } from '../node/node.js'
import type { Node } from '../node/node.js'
import { delay } from '../node/timers.js'
import { callPeer } from '../rpc/rpcClient.js'

/** A command that waits for its answer. */
interface PendingCommand {
  readonly command: ClaimCommand | SettleCommand
  readonly deadline: Millis
  readonly resolve: (reply: ClaimReply) => void
  readonly reject: (err: LynxError) => void
}

/** Commands of this VM to the register of claims. */
export interface ClaimClient {
  readonly node: Node
  /** Commands to be sent in the next batches. */
  queue: PendingCommand[]
  /** Number of commands in the queue and in flight. */
  pendingCount: number
  /** Whether sending the queue is scheduled. */
  scheduled: boolean
}

/** Maximum number of commands in the queue and in flight; beyond it, new commands are rejected. */
const maxPendingCommands = 20_000
const retryDelayMs = 100

/** How long an outcome is sent again for which no caller waits. */
const backgroundRecordTimeoutMs = 10_000

export function createClaimClient (node: Node): ClaimClient {
  return { node, queue: [], pendingCount: 0, scheduled: false }
}

/**
 * Claims a request id for this VM.
 *
 * @throws LynxError `noQuorum` if no answer arrived in time: the register may have granted the claim nevertheless
 */
export async function claimRequestId (claimClient: ClaimClient, id: RequestId, token: string, deadline: Millis): Promise<ClaimAnswer> {
  const startedAt = getCurrentTime()
  const command: ClaimCommand = { type: 'claim', id, holder: claimClient.node.holder, token }
  const answer = await submitCommand(claimClient, command, deadline) as ClaimAnswer
  claimClient.node.metrics.claims.inc({ result: answer.result })
  claimClient.node.metrics.claimSeconds.observe((getCurrentTime() - startedAt) / 1000)
  return answer
}

/**
 * Records the outcome of a claim in the register.
 *
 * @returns whether the register confirmed the outcome for the claim of this holder
 */
export async function recordOutcome (claimClient: ClaimClient, id: RequestId, token: string, outcome: ClaimOutcome, answer: StoredAnswer | undefined, deadline: Millis): Promise<boolean> {
  const command: SettleCommand = { type: 'settle', id, holder: claimClient.node.holder, token, outcome, answer }
  try {
    const reply = await submitCommand(claimClient, command, deadline) as SettleAnswer
    return reply.accepted
  } catch (err) {
    log(claimClient.node.logs, 'claim', 'warn', 'Outcome of a claim was not recorded.', { id, outcome, error: getErrorMessage(err) })
    return false
  }
}

/** Records the outcome of a claim without waiting for the register. */
export function recordOutcomeInBackground (claimClient: ClaimClient, id: RequestId, token: string, outcome: ClaimOutcome, answer: StoredAnswer | undefined): void {
  recordOutcome(claimClient, id, token, outcome, answer, getCurrentTime() + backgroundRecordTimeoutMs).catch(() => undefined)
}

async function submitCommand (claimClient: ClaimClient, command: ClaimCommand | SettleCommand, deadline: Millis): Promise<ClaimReply> {
  if (claimClient.pendingCount >= maxPendingCommands) throw new LynxError('overCapacity', `${maxPendingCommands} commands to the register of claims are pending`, { step: 'claim' })
  claimClient.pendingCount += 1
  try {
    return await new Promise<ClaimReply>((resolve, reject) => {
      claimClient.queue.push({ command, deadline, resolve, reject })
      scheduleSend(claimClient)
    })
  } finally {
    claimClient.pendingCount -= 1
  }
}

function scheduleSend (claimClient: ClaimClient): void {
  if (claimClient.scheduled) return
  claimClient.scheduled = true
  // All commands of one event loop iteration share a message.
  setImmediate(() => {
    claimClient.scheduled = false
    while (claimClient.queue.length > 0) sendBatch(claimClient, claimClient.queue.splice(0, maxClaimBatch)).catch(() => undefined)
  })
}

async function sendBatch (claimClient: ClaimClient, batch: readonly PendingCommand[]): Promise<void> {
  const { node } = claimClient
  const startedAt = getCurrentTime()
  const latestDeadline = Math.max(...batch.map(pending => pending.deadline))
  const timeoutMs = Math.max(1, Math.min(node.cfg.times.rpcTimeoutMs, latestDeadline - startedAt))
  try {
    const leader = getLeaderAddress(node)
    if (leader === '') throw new LynxError('notLeader', 'no leader is known', { step: 'claim' })
    const replies = await callPeer<ClaimReply[]>(node.client, leader, 'claims.submit', { commands: batch.map(pending => pending.command) }, timeoutMs)
    batch.forEach((pending, index) => pending.resolve(replies[index] as ClaimReply))
  } catch (err) {
    await retryBatch(claimClient, batch, err)
  }
}

async function retryBatch (claimClient: ClaimClient, batch: readonly PendingCommand[], err: unknown): Promise<void> {
  const isFinal = isLynxError(err, 'badRequest') || isLynxError(err, 'notAllowed')
  log(claimClient.node.logs, 'claim', isFinal ? 'error' : 'warn', 'Batch of claims was not answered.', { commands: batch.length, peer: claimClient.node.leader, error: getErrorMessage(err) })
  if (!isFinal) await delay(retryDelayMs)
  const now = getCurrentTime()
  for (const pending of batch) {
    if (isFinal || now >= pending.deadline) {
      pending.reject(new LynxError('noQuorum', getErrorMessage(err), { step: pending.command.type, peer: claimClient.node.leader ?? '', cause: err }))
    } else {
      claimClient.queue.push(pending)
    }
  }
  if (claimClient.queue.length > 0) scheduleSend(claimClient)
}
