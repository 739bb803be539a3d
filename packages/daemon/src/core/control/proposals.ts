/** Proposals and reads at this VM's copy of the log, and how their callers get their answers. */
import { LynxError } from '@lynxcourse/base'
import type { CommandAnswer, Command } from '@lynxcourse/state'
import { enqueueEvent, wake } from './controlHost.js'
import { finishRead, isLeading, notLeader } from './hostState.js'
import type { ControlHost } from './hostState.js'

/** Most proposals that wait; over it new ones are refused at once. */
const maxProposals = 10_000

/**
 * Proposes a command and waits until it is committed and applied.
 *
 * @throws LynxError `notLeader` when this VM does not lead, `noQuorum` when the outcome is not known
 */
export async function proposeCommand (host: ControlHost, command: Command): Promise<CommandAnswer> {
  if (host.failed !== undefined) throw host.failed
  if (!isLeading(host)) throw notLeader(host)
  if (host.proposals.length + host.placed.size >= maxProposals) {
    throw new LynxError('overCapacity', `${maxProposals} proposals wait`, { step: 'propose' })
  }
  const timeoutMs = host.env.times.rpcTimeoutMs
  return await new Promise<CommandAnswer>((resolve, reject) => {
    const timer = setTimeout(() => reject(new LynxError('noQuorum', `no quorum within ${timeoutMs} ms`, { step: 'propose' })), timeoutMs)
    const settle = <Value>(finish: (value: Value) => void) => (value: Value): void => {
      clearTimeout(timer)
      finish(value)
    }
    host.proposals.push({ command, resolve: settle(resolve), reject: settle(reject) })
    wake(host)
  })
}

/**
 * Waits until this VM is known to lead now, so that a read of its state is up to date.
 *
 * @throws LynxError `notLeader` or `noQuorum`
 */
export async function confirmRead (host: ControlHost): Promise<void> {
  if (!isLeading(host)) throw notLeader(host)
  const token = host.nextReadToken++
  const timeoutMs = host.env.times.rpcTimeoutMs
  await new Promise<void>((resolve, reject) => {
    const timer = setTimeout(() => finishRead(host, token, new LynxError('noQuorum', `no quorum within ${timeoutMs} ms`, { step: 'read' })), timeoutMs)
    host.readers.set(token, {
      resolve: () => { clearTimeout(timer); resolve() },
      reject: err => { clearTimeout(timer); reject(err) }
    })
    enqueueEvent(host, { type: 'read', token })
  })
}
