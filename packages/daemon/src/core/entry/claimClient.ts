/**
 * The entry VM's side of claims: sends them to the leader in batches and repeats them, under the same
 * token, until an answer comes or the time is over. A repeated claim by its own holder gets its first
 * answer, so a lost answer costs nothing but time.
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

interface Waiting {
  readonly command: ClaimCommand | SettleCommand
  readonly until: Millis
  readonly resolve: (reply: ClaimReply) => void
  readonly reject: (err: LynxError) => void
}

export interface ClaimClient {
  readonly node: Node
  waiting: Waiting[]
  /** Commands waiting or under way. */
  pending: number
  scheduled: boolean
}

/** Most commands at once; over it new claims are refused. */
const maxPending = 20_000
const retryEveryMs = 100

/** How long a settle is repeated; it is no caller that waits for it. */
const settleForMs = 10_000

export function createClaimClient (node: Node): ClaimClient {
  return { node, waiting: [], pending: 0, scheduled: false }
}

/**
 * Claims a request id for this VM.
 *
 * @throws LynxError `noQuorum` when no answer came in time: the claim may stand in the register
 */
export async function claimId (claiming: ClaimClient, id: RequestId, token: string, until: Millis): Promise<ClaimAnswer> {
  const startedAt = getCurrentTime()
  const command: ClaimCommand = { type: 'claim', id, holder: claiming.node.holder, token }
  const answer = await submit(claiming, command, until) as ClaimAnswer
  claiming.node.metrics.claims.inc({ result: answer.result })
  claiming.node.metrics.claimSeconds.observe((getCurrentTime() - startedAt) / 1000)
  return answer
}

/**
 * Records how a claim ended.
 *
 * @returns whether the register now says so in this holder's name
 */
export async function settleId (claiming: ClaimClient, id: RequestId, token: string, outcome: ClaimOutcome, answer: StoredAnswer | undefined, until: Millis): Promise<boolean> {
  const command: SettleCommand = { type: 'settle', id, holder: claiming.node.holder, token, outcome, answer }
  try {
    const settled = await submit(claiming, command, until) as SettleAnswer
    return settled.accepted
  } catch (err) {
    log(claiming.node.logs, 'claim', 'warn', 'Outcome was not recorded.', { id, outcome, error: getErrorMessage(err) })
    return false
  }
}

/** Records an end for which no caller waits. */
export function settleLater (claiming: ClaimClient, id: RequestId, token: string, outcome: ClaimOutcome, answer: StoredAnswer | undefined): void {
  settleId(claiming, id, token, outcome, answer, getCurrentTime() + settleForMs).catch(() => undefined)
}

async function submit (claiming: ClaimClient, command: ClaimCommand | SettleCommand, until: Millis): Promise<ClaimReply> {
  if (claiming.pending >= maxPending) throw new LynxError('overCapacity', `${maxPending} claims wait`, { step: 'claim' })
  claiming.pending += 1
  try {
    return await new Promise<ClaimReply>((resolve, reject) => {
      claiming.waiting.push({ command, until, resolve, reject })
      schedule(claiming)
    })
  } finally {
    claiming.pending -= 1
  }
}

function schedule (claiming: ClaimClient): void {
  if (claiming.scheduled) return
  claiming.scheduled = true
  // All claims of one turn of the loop share a message.
  setImmediate(() => {
    claiming.scheduled = false
    while (claiming.waiting.length > 0) sendBatch(claiming, claiming.waiting.splice(0, maxClaimBatch)).catch(() => undefined)
  })
}

async function sendBatch (claiming: ClaimClient, batch: readonly Waiting[]): Promise<void> {
  const { node } = claiming
  const started = getCurrentTime()
  const latest = Math.max(...batch.map(waiting => waiting.until))
  const timeoutMs = Math.max(1, Math.min(node.cfg.times.rpcTimeoutMs, latest - started))
  try {
    const leader = getLeaderAddress(node)
    if (leader === '') throw new LynxError('notLeader', 'no leader is known', { step: 'claim' })
    const replies = await callPeer<ClaimReply[]>(node.client, leader, 'claims.submit', { commands: batch.map(waiting => waiting.command) }, timeoutMs)
    batch.forEach((waiting, place) => waiting.resolve(replies[place] as ClaimReply))
  } catch (err) {
    await retryBatch(claiming, batch, err)
  }
}

async function retryBatch (claiming: ClaimClient, batch: readonly Waiting[], err: unknown): Promise<void> {
  const isFinal = isLynxError(err, 'badRequest') || isLynxError(err, 'notAllowed')
  log(claiming.node.logs, 'claim', isFinal ? 'error' : 'warn', 'Batch was not answered.', { commands: batch.length, peer: claiming.node.leader, error: getErrorMessage(err) })
  if (!isFinal) await delay(retryEveryMs)
  const now = getCurrentTime()
  for (const waiting of batch) {
    if (isFinal || now >= waiting.until) {
      waiting.reject(new LynxError('noQuorum', getErrorMessage(err), { step: waiting.command.type, peer: claiming.node.leader ?? '', cause: err }))
    } else {
      claiming.waiting.push(waiting)
    }
  }
  if (claiming.waiting.length > 0) schedule(claiming)
}
