/** Sends a change, prints its id and answer, and waits for it to be in force if asked to. */
import { randomUUID } from 'node:crypto'
import { LynxError } from '@lynxcourse/base'
import { getCurrentTime } from '@lynxcourse/daemon'
import type { ChangeAnswer } from '@lynxcourse/state'
import { exitCodes } from '../utils/exitCodes.js'
import { printOne, printProgress } from '../utils/printing.js'
import { call } from './session.js'
import type { Session } from './session.js'

/** Options of commands that change something. */
export interface ChangeOptions {
  readonly changeId?: string
  readonly wait?: boolean
}

interface InForce {
  readonly inForce: boolean
  readonly waitingFor: readonly string[]
  readonly acknowledged: number
}

const waitMs = 30_000
const pollMs = 200

/** Waits. */
export async function pause (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

/** Sends a change. The id is printed first, so that it is known even if the answer is lost. */
export async function sendChange (session: Session, change: object, options: ChangeOptions): Promise<number> {
  const changeId = options.changeId ?? randomUUID()
  printProgress(`change id ${changeId} (give it again with --change-id to learn this change's answer)`)
  const answer = await call<ChangeAnswer>(session, 'change.submit', { change: { ...change, changeId, operator: session.operator } })
  if (!answer.ok) throw refusal(answer)
  const startedAt = getCurrentTime()
  printOne(session.output, { changeId, version: answer.version, itemVersion: answer.itemVersion })
  return options.wait === true ? await waitInForce(session, answer.version, startedAt) : exitCodes.ok
}

function refusal (answer: Extract<ChangeAnswer, { ok: false }>): LynxError {
  const { winner } = answer
  const by = winner === undefined ? '' : ` (version ${winner.version} by ${winner.operator}, change ${winner.changeId})`
  return new LynxError(answer.code, `${answer.detail}${by}`, { step: 'change' })
}

async function waitInForce (session: Session, version: number, startedAt: number): Promise<number> {
  let shown = ''
  while (getCurrentTime() - startedAt < waitMs) {
    const state = await call<InForce>(session, 'query.inForce', { version })
    if (state.inForce) {
      printProgress(`in force everywhere after ${Math.round(getCurrentTime() - startedAt)} ms`)
      return exitCodes.ok
    }
    const text = `waiting: ${state.acknowledged} VMs have it, ${state.waitingFor.join(', ') || 'leases'} to come`
    if (text !== shown) printProgress(text)
    shown = text
    await pause(pollMs)
  }
  printProgress(`not shown to be in force within ${waitMs} ms`)
  return exitCodes.waitTimedOut
}
