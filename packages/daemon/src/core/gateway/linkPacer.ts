/** Writes large answers in pieces, in the order and at the rate that `LinkPacing` decides. */
import { loadChart } from '@lynxcourse/base'
import type { Chart } from '@lynxcourse/base'
import { computeLargeAnswerRate, createLinkPacing, getPieceDelay, takePiece } from '@lynxcourse/placement'
import type { LinkPacing, PacedAnswer } from '@lynxcourse/placement'
import { getCurrentTime } from '../../utils/clock.js'
import type { FleetNode } from '../fleet/fleetNode.js'

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
  timer: NodeJS.Timeout | undefined
  isWriting: boolean
}

export function createLinkPacer (node: FleetNode): LinkPacer {
  const pacer: LinkPacer = {
    node,
    chart: loadChart('answerStream'),
    pacing: createLinkPacing(getCurrentTime()),
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
