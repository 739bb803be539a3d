/** Writes large answers in pieces, in the order and at the rate that `LinkPacing` decides. */
import { loadChart } from '@lynxcourse/base'
import type { Chart, Millis } from '@lynxcourse/base'
import { computeDeliveryExcess, computeLargeAnswerRate, createLargeAnswerDemand, createLinkPacing, getPieceDelay, takePiece } from '@lynxcourse/placement'
import type { LargeAnswerDemand, LinkPacing, PacedAnswer, Refusal } from '@lynxcourse/placement'
import { getCurrentTime } from '../../utils/clock.js'
import type { FleetNode } from '../fleet/fleetNode.js'

/** Shortest retry time for the caller of a refused large answer; other VMs may have room now. */
const minRetryAfterMs: Millis = 100

/** A large answer in progress. */
export interface PacedStream extends PacedAnswer {
  /** Writes that many of the bytes that were ready. */
  readonly writePiece: (bytes: number) => void
}

/** The link of one VM. Disposal stops writing. */
export interface LinkPacer extends AsyncDisposable {
  readonly node: FleetNode
  readonly chart: Chart
  readonly pacing: LinkPacing
  readonly demand: LargeAnswerDemand
  timer: NodeJS.Timeout | undefined
  isWriting: boolean
}

export function createLinkPacer (node: FleetNode): LinkPacer {
  const pacer: LinkPacer = {
    node,
    chart: loadChart('answerStream'),
    pacing: createLinkPacing(getCurrentTime()),
    demand: createLargeAnswerDemand(),
    timer: undefined,
    isWriting: false,
    [Symbol.asyncDispose]: async () => clearTimeout(pacer.timer)
  }
  return pacer
}

/** Writes the pieces that may be written now, and schedules the next one. */
export function writeReadyPieces (pacer: LinkPacer): void {
  // A written piece can make its server's connection continue, which calls this function again.
  if (pacer.isWriting) return
  const { pacing, node } = pacer
  pacing.bytesPerMs = computeLargeAnswerRate(node.cfg.capacity?.linkMbps)
  pacer.isWriting = true
  try {
    for (let piece = takePiece(pacing, getCurrentTime()); piece !== undefined; piece = takePiece(pacing, getCurrentTime())) {
      (piece.answer as PacedStream).writePiece(piece.bytes)
    }
  } finally {
    pacer.isWriting = false
  }
  clearTimeout(pacer.timer)
  const delayMs = getPieceDelay(pacing, getCurrentTime())
  pacer.timer = delayMs === undefined ? undefined : setTimeout(() => writeReadyPieces(pacer), Math.ceil(delayMs))
}

/** Refuses a request whose large answer the link can't deliver by the deadline; returns undefined if it can. */
export function refuseLargeAnswer ({ demand, node }: LinkPacer, deadline: Millis, now: Millis): Refusal | undefined {
  const excessMs = computeDeliveryExcess(demand, computeLargeAnswerRate(node.cfg.capacity?.linkMbps), deadline - now)
  return excessMs === 0 ? undefined : { type: 'refuse', reason: 'busy', retryAfterMs: Math.max(minRetryAfterMs, excessMs * (0.5 + node.random())) }
}
