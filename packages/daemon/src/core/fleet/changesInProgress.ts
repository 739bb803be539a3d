/**
 * Changes of routes that a control VM processes.
 *
 * An operator who gets no answer in time sends a change again. A large one takes longer than a call waits; if each repetition were another entry of the
 * log, the leader would fall further behind with each of them. Several large ones at once would not fit into a control VM's memory.
 */
import type { IncomingMessage } from 'node:http'
import { LynxError } from '@lynxcourse/base'
import type { Millis } from '@lynxcourse/base'
import { getRoutesVersion, measureRouteChange } from '@lynxcourse/state'
import type { ChangeAnswer, ReplaceRoutesCommand, RouteChangeId, UpdateRoutesCommand } from '@lynxcourse/state'
import { createByteBudget, openTakenBytes, returnBytes, tryTakeBytes } from '../../utils/byteBudget.js'
import type { ByteBudget } from '../../utils/byteBudget.js'
import { readBody } from '../../utils/httpServer.js'
import { createNoQuorumError } from '../control/hostState.js'
import type { ControlHost } from '../control/hostState.js'
import { confirmRead, proposeChange } from '../control/proposals.js'

/** Maximum size of the changes that are decoded at once, in bytes of their bodies. A larger one is decoded alone. */
const maxBytesInProgress = 2_097_152
/** Maximum size of the changes without a result at the leader, as `measureRouteChange` measures them. */
const maxProposedBytes = 8_388_608
const admitStep = 'admit change'
/** Time after which a change that was proposed is proposed again if it is sent again. */
const proposedMs: Millis = 10_000

interface ProposedChange {
  readonly term: number
  readonly answer: Promise<ChangeAnswer>
}

/** The changes in progress at one control VM, with the bytes of their bodies. */
export interface ChangesInProgress extends ByteBudget {
  /** At the leader: changes that were proposed and have no result yet. */
  readonly proposed: Map<RouteChangeId, ProposedChange>
  /** At the leader: the sizes of these changes; they are held for longer than their senders wait. */
  readonly proposedBytes: ByteBudget
}

export function createChangesInProgress (): ChangesInProgress {
  return { maxBytes: maxBytesInProgress, bytes: 0, proposed: new Map(), proposedBytes: createByteBudget(maxProposedBytes) }
}

/**
 * Processes a change if there is memory for it.
 *
 * @throws LynxError `overCapacity` if the changes in progress are too large already
 */
export async function admitChange<Result> (changes: ChangesInProgress, bytes: number, work: () => Promise<Result>): Promise<Result> {
  using taken = openTakenBytes(changes, admitStep)
  taken.take(bytes)
  return await work()
}

/**
 * Reads the body of a change and processes it. The body counts as in progress from its first byte on: senders that stop in the middle of
 * a body would otherwise fill the memory.
 *
 * @throws LynxError `tooLarge` if the body is larger than `maxBytes`, `overCapacity` if the changes in progress are too large already
 */
export async function admitChangeBody<Result> (changes: ChangesInProgress, req: IncomingMessage, maxBytes: number, work: (body: Buffer) => Promise<Result>): Promise<Result> {
  using taken = openTakenBytes(changes, admitStep)
  return await work(await readBody(req, maxBytes, taken))
}

/**
 * Proposes a change of routes at the leader, unless it has been accepted or proposed already.
 *
 * @throws LynxError as `proposeChange` does; a change without a result in time may still be accepted
 */
export async function proposeRouteChange (changes: ChangesInProgress, host: ControlHost, command: ReplaceRoutesCommand | UpdateRoutesCommand): Promise<ChangeAnswer> {
  if (host.machine.orders.has(command.order)) {
    await confirmRead(host)
    const { config } = host.machine
    return { ok: true, version: config.version, itemVersion: getRoutesVersion(config) }
  }
  const term = host.replica?.term ?? 0
  const known = changes.proposed.get(command.order)
  if (known?.term === term) return await waitForAnswer(known.answer, host.env.times.rpcTimeoutMs)
  const bytes = measureRouteChange(command)
  takeProposedBytes(changes, bytes)
  const answer = proposeChange(host, command, 'submit', proposedMs).finally(() => returnBytes(changes.proposedBytes, bytes))
  const proposed: ProposedChange = { term, answer }
  changes.proposed.set(command.order, proposed)
  const forget = (): void => { if (changes.proposed.get(command.order) === proposed) changes.proposed.delete(command.order) }
  // Callers get errors by `waitForAnswer`; after it, the answer may have no caller left.
  answer.then(forget, forget)
  return await waitForAnswer(answer, host.env.times.rpcTimeoutMs)
}

function takeProposedBytes ({ proposedBytes }: ChangesInProgress, bytes: number): void {
  if (tryTakeBytes(proposedBytes, bytes)) return
  throw new LynxError('overCapacity', `changes of ${proposedBytes.bytes} bytes have no result yet`, { step: 'propose' })
}

async function waitForAnswer (answer: Promise<ChangeAnswer>, timeoutMs: Millis): Promise<ChangeAnswer> {
  let timer: NodeJS.Timeout | undefined
  const timeout = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(() => reject(createNoQuorumError(timeoutMs, 'propose')), timeoutMs)
  })
  try {
    return await Promise.race([answer, timeout])
  } finally {
    clearTimeout(timer)
  }
}
