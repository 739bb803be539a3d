/** Proposals and reads at this VM's copy of the log, and how their callers get their answers. */
import { LynxError } from '@lynxcourse/base'
import type { Entry } from '@lynxcourse/agreement'
import type { Answer, Command } from '@lynxcourse/state'
import { feed, leads, wake } from './controlHost.js'
import type { ControlHost } from './controlHost.js'

/** Most proposals that wait; over it new ones are refused at once. */
const maxProposals = 10_000

export function failAll (host: ControlHost, err: LynxError): void {
  for (const pending of [...host.proposals, ...host.placed.values()]) pending.reject(err)
  for (const reader of host.readers.values()) reader.reject(err)
  host.proposals = []
  host.placed.clear()
  host.readers.clear()
}

export function answerPlaced (host: ControlHost, entry: Entry, answer: Answer): void {
  const placed = host.placed.get(entry.index)
  if (placed === undefined) return
  host.placed.delete(entry.index)
  if (placed.term === entry.term) placed.resolve(answer)
  else placed.reject(new LynxError('noQuorum', 'the lead changed before the entry was committed', { step: 'propose' }))
}

export function finishRead (host: ControlHost, token: number, err: LynxError | undefined): void {
  const reader = host.readers.get(token)
  host.readers.delete(token)
  if (err === undefined) reader?.resolve()
  else reader?.reject(err)
}

export function notLeader (host: ControlHost): LynxError {
  const leader = host.replica?.leader
  return new LynxError('notLeader', leader === undefined ? 'no leader is known' : `the leader is ${leader}`, { step: 'propose' })
}

/**
 * Proposes a command and waits until it is committed and applied.
 *
 * @throws LynxError `notLeader` when this VM does not lead, `noQuorum` when the outcome is not known
 */
export async function submitHere (host: ControlHost, command: Command): Promise<Answer> {
  if (host.failed !== undefined) throw host.failed
  if (!leads(host)) throw notLeader(host)
  if (host.proposals.length + host.placed.size >= maxProposals) {
    throw new LynxError('overCapacity', `${maxProposals} proposals wait`, { step: 'propose' })
  }
  const timeoutMs = host.node.cfg.times.rpcTimeoutMs
  return await new Promise<Answer>((resolve, reject) => {
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
  if (!leads(host)) throw notLeader(host)
  const token = host.nextToken++
  const timeoutMs = host.node.cfg.times.rpcTimeoutMs
  await new Promise<void>((resolve, reject) => {
    const timer = setTimeout(() => finishRead(host, token, new LynxError('noQuorum', `no quorum within ${timeoutMs} ms`, { step: 'read' })), timeoutMs)
    host.readers.set(token, {
      resolve: () => { clearTimeout(timer); resolve() },
      reject: err => { clearTimeout(timer); reject(err) }
    })
    feed(host, { type: 'read', token })
  })
}
