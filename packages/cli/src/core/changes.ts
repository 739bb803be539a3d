/** Submits changes, prints their ids and results, and optionally waits until they are in force. */
import { randomUUID } from 'node:crypto'
import { LynxError } from '@lynxcourse/base'
import { getCurrentTime } from '@lynxcourse/daemon'
import type { ChangeAnswer } from '@lynxcourse/state'
import { exitCodes } from '../utils/exitCodes.js'
import { printRecord, printProgress } from '../utils/printing.js'
import { callAnyVm } from './session.js'
import type { Session } from './session.js'

/** Options of commands that submit a change. */
export interface ChangeOptions {
  readonly changeId?: string
  readonly wait?: boolean
}

interface InForceStatus {
  readonly inForce: boolean
  readonly waitingFor: readonly string[]
  readonly acknowledged: number
}

const waitTimeoutMs = 30_000
const pollIntervalMs = 200

/** Resolves after the given time, in milliseconds. */
export async function sleep (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

/** Submits a change and returns the exit code. Prints the change's id first, so that it is known even if the answer is lost. */
export async function sendChange (session: Session, change: object, options: ChangeOptions): Promise<number> {
  const changeId = options.changeId ?? randomUUID()
  printProgress(`change id ${changeId} (give it again with --change-id to get the result of this change)`)
  const answer = await callAnyVm<ChangeAnswer>(session, 'change.submit', { change: { ...change, changeId, operator: session.operator } })
  if (!answer.ok) throw createRefusalError(answer)
  const startedAt = getCurrentTime()
  printRecord(session.output, { changeId, version: answer.version, itemVersion: answer.itemVersion })
  return options.wait === true ? await waitUntilInForce(session, answer.version, startedAt) : exitCodes.ok
}

function createRefusalError (answer: Extract<ChangeAnswer, { ok: false }>): LynxError {
  const { winner } = answer
  const winnerNote = winner === undefined ? '' : ` (version ${winner.version} by ${winner.operator}, change ${winner.changeId})`
  return new LynxError(answer.code, `${answer.detail}${winnerNote}`, { step: 'change' })
}

async function waitUntilInForce (session: Session, version: number, startedAt: number): Promise<number> {
  let lastText = ''
  while (getCurrentTime() - startedAt < waitTimeoutMs) {
    const state = await callAnyVm<InForceStatus>(session, 'query.inForce', { version })
    if (state.inForce) {
      printProgress(`in force everywhere after ${Math.round(getCurrentTime() - startedAt)} ms`)
      return exitCodes.ok
    }
    const text = `waiting: ${state.acknowledged} VMs have acknowledged the change; still waiting for ${state.waitingFor.join(', ') || 'leases to expire'}`
    if (text !== lastText) printProgress(text)
    lastText = text
    await sleep(pollIntervalMs)
  }
  printProgress(`not confirmed to be in force within ${waitTimeoutMs} ms`)
  return exitCodes.waitTimedOut
}
