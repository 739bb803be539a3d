/** How large answers share a VM's link. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { addPacedAnswer, computeLargeAnswerRate, createLinkPacing, getPieceDelay, takePiece } from '@lynxcourse/placement'
import type { LinkPacing, PacedAnswer } from '@lynxcourse/placement'

const linkMbps = 5.8
const linkBytesPerMs = linkMbps * 125

function createPacing (mbps: number | undefined): LinkPacing {
  const pacing = createLinkPacing(0)
  pacing.bytesPerMs = computeLargeAnswerRate(mbps)
  return pacing
}

function add (pacing: LinkPacing, bytes: number, isLengthKnown = true): PacedAnswer {
  const answer: PacedAnswer = { remainingBytes: isLengthKnown ? bytes : undefined, readyBytes: bytes, lastTurn: 0 }
  addPacedAnswer(pacing, answer)
  return answer
}

/** Takes all pieces until a time, sleeping as `getPieceDelay` says; returns the time at which each answer was complete. */
function run (pacing: LinkPacing, untilMs: number, onPiece: (bytes: number, now: number) => void = () => undefined): Map<PacedAnswer, number> {
  const completedAt = new Map<PacedAnswer, number>()
  let now = 0
  while (now <= untilMs) {
    const piece = takePiece(pacing, now)
    if (piece === undefined) {
      const delay = getPieceDelay(pacing, now)
      if (delay === undefined) break
      now += Math.max(1, Math.ceil(delay))
      continue
    }
    onPiece(piece.bytes, now)
    if (piece.answer.readyBytes === 0) completedAt.set(piece.answer, now)
  }
  return completedAt
}

/** Guards against small answers that wait behind a whole large one: the symptom is a small answer that takes 0.7 s longer. */
test('large answers leave the link free for small ones at any time', () => {
  const pacing = createPacing(linkMbps)
  for (const bytes of [540_000, 90_000, 300_000]) add(pacing, bytes)
  let queuedBytes = 0
  let at = 0
  let longestMs = 0
  run(pacing, 60_000, (bytes, now) => {
    queuedBytes = Math.max(0, queuedBytes - (now - at) * linkBytesPerMs) + bytes
    at = now
    longestMs = Math.max(longestMs, queuedBytes / linkBytesPerMs)
  })
  assert.ok(longestMs < 30, `a small answer waits ${longestMs} ms`)
  assert.equal(pacing.answers.size, 3)
})

test('answers with few remaining bytes go first, and a long one still advances', () => {
  const pacing = createPacing(linkMbps)
  const long = add(pacing, 540_000)
  const short = add(pacing, 40_000)
  const completedAt = run(pacing, 60_000)
  const alone = 40_000 / pacing.bytesPerMs
  assert.ok((completedAt.get(short) ?? Infinity) < alone * 1.6, `${completedAt.get(short)} instead of ${alone}`)
  assert.ok(completedAt.has(long))
})

/** Guards against a long answer that waits until its deadline behind a steady stream of shorter ones. */
test('a long answer advances at a quarter of the rate while shorter ones keep arriving', () => {
  const pacing = createPacing(linkMbps)
  const long = add(pacing, 300_000)
  let shorter = [1, 2, 3].map(() => add(pacing, 30_000))
  run(pacing, 10_000, () => {
    for (const answer of shorter) if (answer.readyBytes === 0) pacing.answers.delete(answer)
    shorter = shorter.map(answer => answer.readyBytes === 0 ? add(pacing, 30_000) : answer)
  })
  assert.ok(long.readyBytes === 0, `${long.readyBytes}`)
})

test('answers of unknown length take turns', () => {
  const pacing = createPacing(linkMbps)
  const answers = [add(pacing, 100_000, false), add(pacing, 100_000, false)]
  const completedAt = run(pacing, 60_000)
  const times = answers.map(answer => completedAt.get(answer) ?? Infinity)
  assert.ok(Math.abs((times[0] as number) - (times[1] as number)) < 40, times.join())
})

test('without a known or scarce link, all that is ready is written at once', () => {
  for (const mbps of [undefined, 100, 1000]) {
    const pacing = createPacing(mbps)
    add(pacing, 540_000)
    let written = 0
    run(pacing, 0, bytes => { written += bytes })
    assert.equal(written, 540_000)
  }
})

/** Guards against answers that stop, for example when a clock steps back or an answer has only few bytes ready. */
test('over any time, large answers use their rate and no more than a short burst above it', () => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 200_000 }), { minLength: 1, maxLength: 8 }), fc.double({ min: 0.5, max: 99, noNaN: true }), (sizes, mbps) => {
    const pacing = createPacing(mbps)
    for (const size of sizes) add(pacing, size, size % 2 === 0)
    let written = 0
    let last = 0
    const burst = 8192 + pacing.bytesPerMs * 10
    run(pacing, 1e7, (bytes, now) => {
      written += bytes
      last = now
      assert.ok(written <= now * pacing.bytesPerMs + burst)
    })
    const total = sizes.reduce((sum, size) => sum + size, 0)
    assert.equal(written, total)
    assert.ok(last <= total / pacing.bytesPerMs + 60, `${last}`)
  }), { numRuns: 200 })
})
