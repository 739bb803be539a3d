/** Proposals to and linearizable reads from this VM's replica. */
import { LynxError } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import type { ChangeAnswer, CommandAnswer, Command } from '@lynxcourse/state'
import { enqueueEvent, startProcessing } from './controlHost.js'
import { createNoQuorumError, finishRead, isLeading, createNotLeaderError } from './hostState.js'
import type { ControlHost } from './hostState.js'

/** Maximum number of waiting proposals; beyond it, new ones are rejected at once. */
const maxProposals = 10_000

/**
 * Proposes a command and waits until it is committed and applied.
 *
 * @param timeoutMs time after which the outcome counts as unknown
 * @throws LynxError `notLeader` when this VM is not the leader, `noQuorum` when the outcome is unknown, `overCapacity`
 *   when too many proposals are waiting, or the error that stopped the replica
 */
export async function proposeCommand (host: ControlHost, command: Command, timeoutMs: Millis = host.env.times.rpcTimeoutMs): Promise<CommandAnswer> {
  if (host.failed !== undefined) throw host.failed
  if (!isLeading(host)) throw createNotLeaderError(host)
  if (host.isResigning) throw new LynxError('notLeader', 'this VM is stopping and hands its leadership over', { step: 'propose' })
  if (host.proposals.length + host.appendedProposals.size >= maxProposals) {
    throw new LynxError('overCapacity', `${maxProposals} proposals are already waiting`, { step: 'propose' })
  }
  return await new Promise<CommandAnswer>((resolve, reject) => {
    const timer = setTimeout(() => reject(createNoQuorumError(timeoutMs, 'propose')), timeoutMs)
    const clearTimerThen = <Value>(finish: (value: Value) => void) => (value: Value): void => {
      clearTimeout(timer)
      finish(value)
    }
    host.proposals.push({ command, resolve: clearTimerThen(resolve), reject: clearTimerThen(reject) })
    startProcessing(host)
  })
}

/**
 * Proposes a command that is answered like an operator's change, and waits for the answer.
 *
 * @param step name of the operation, for errors
 * @param timeoutMs time after which the outcome counts as unknown
 * @throws LynxError as `proposeCommand` does, and `badRpc` if the command could not be applied
 */
export async function proposeChange (host: ControlHost, command: Command, step: string, timeoutMs: Millis = host.env.times.rpcTimeoutMs): Promise<ChangeAnswer> {
  const answer = await proposeCommand(host, command, timeoutMs)
  if (answer.type === 'change') return answer.change
  throw new LynxError('badRpc', answer.type === 'failed' ? answer.detail : 'the state machine returned no result for the change', { step })
}

/**
 * Waits until a quorum has confirmed that this VM is the leader. A read of its state machine afterwards includes every
 * command that was committed before the call.
 *
 * @throws LynxError `notLeader` or `noQuorum`
 */
export async function confirmRead (host: ControlHost): Promise<void> {
  if (!isLeading(host)) throw createNotLeaderError(host)
  const token = host.nextReadToken++
  const timeoutMs = host.env.times.rpcTimeoutMs
  await new Promise<void>((resolve, reject) => {
    const timer = setTimeout(() => finishRead(host, token, createNoQuorumError(timeoutMs, 'read')), timeoutMs)
    host.pendingReads.set(token, {
      resolve: () => { clearTimeout(timer); resolve() },
      reject: err => { clearTimeout(timer); reject(err) }
    })
    enqueueEvent(host, { type: 'read', token })
  })
}
