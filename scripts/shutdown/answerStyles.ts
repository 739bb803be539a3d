/** How a backend server writes its answers. */
import type { ServerResponse } from 'node:http'
import type { AnswerPlan } from './answerPlan.js'
import { createText } from './texts.js'
import type { AnswerKind } from './types.js'

/** A request to answer. */
export interface AnswerTask {
  readonly server: string
  readonly id: string
  readonly plan: AnswerPlan
  readonly res: ServerResponse
}

/** Waits for the given time in milliseconds, or until the connection has closed. */
export type Wait = (ms: number) => Promise<void>

/** A way to write an answer. */
export abstract class AnswerStyle {
  /** Whether the server does not answer the request. */
  readonly fails: boolean = false

  abstract answer (task: AnswerTask, wait: Wait): Promise<void>
}

class WholeAnswer extends AnswerStyle {
  override async answer (task: AnswerTask): Promise<void> {
    const text = createAnswerText(task)
    task.res.setHeader('content-length', text.length)
    task.res.end(text)
  }
}

const chunkCount = 4

class ChunkedAnswer extends AnswerStyle {
  override async answer (task: AnswerTask, wait: Wait): Promise<void> {
    const { res, plan } = task
    const text = createAnswerText(task)
    const length = Math.ceil(text.length / chunkCount)
    for (let offset = 0; offset < text.length; offset += length) {
      if (offset > 0) await wait(plan.pauseMs)
      if (res.destroyed) return
      res.write(text.slice(offset, offset + length))
    }
    res.end()
  }
}

class HeadFirstAnswer extends AnswerStyle {
  override async answer (task: AnswerTask, wait: Wait): Promise<void> {
    const { res, plan } = task
    const text = createAnswerText(task)
    res.setHeader('content-length', text.length)
    res.flushHeaders()
    await wait(plan.pauseMs)
    if (!res.destroyed) res.end(text)
  }
}

class TurnedAwayAnswer extends AnswerStyle {
  override readonly fails = true

  override async answer ({ res }: AnswerTask): Promise<void> {
    res.writeHead(503, { 'lynx-not-started': 'full', 'content-length': 0 }).end()
  }
}

class ResetAnswer extends AnswerStyle {
  override readonly fails = true

  override async answer ({ res }: AnswerTask): Promise<void> {
    res.socket?.resetAndDestroy()
  }
}

function createAnswerText ({ server, id, plan }: AnswerTask): string {
  return createText(server, id, plan.bodyBytes)
}

/** All ways to write an answer. */
export const answerStyles: Readonly<Record<AnswerKind, AnswerStyle>> = {
  prompt: new WholeAnswer(),
  late: new WholeAnswer(),
  lastMoment: new WholeAnswer(),
  large: new WholeAnswer(),
  chunked: new ChunkedAnswer(),
  headFirst: new HeadFirstAnswer(),
  turnedAway: new TurnedAwayAnswer(),
  reset: new ResetAnswer()
}
