/** Counts and formats losses. */
import type { Loss } from './judge.js'

/** Phases of a stop in which a request was sent, by their ends in milliseconds after the signal. */
const sendPhases: ReadonlyArray<readonly [number, string]> = [[0, 'sent before the signal'], [1000, 'sent within 1 s'], [3000, 'sent 1 s to 3 s after'], [Infinity, 'sent over 3 s after']]

/** Returns the phase of the planned work in which the request of a loss was sent. */
export function getPhase ({ signal, stopSignals, request }: Loss): string {
  if (signal === undefined) return 'no signal'
  if (signal === 'reload') return 'reload'
  const repeated = stopSignals > 1 ? ', repeated signal' : ''
  const sentAfterMs = request?.sentAfterMs
  if (sentAfterMs === undefined) return `stop${repeated}`
  if (request?.isAfterExit === true) return `sent after the exit${repeated}`
  const phase = sendPhases.find(([untilMs]) => sentAfterMs < untilMs)?.[1] ?? ''
  return `${phase}${repeated}`
}

/** Returns the number of losses by habit, kind and phase, the largest first. */
export function summarize (losses: readonly Loss[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const loss of losses) {
    const key = [loss.request?.habit ?? 'process', loss.kind, getPhase(loss)].join(' | ')
    counts.set(key, (counts.get(key) ?? 0) + 1)
  }
  return new Map([...counts].sort((a, b) => b[1] - a[1]))
}

/** Returns one line that describes a loss. */
export function formatLoss (loss: Loss): string {
  const { kind, vm, signal, stopSignals, endedAfterMs, detail, request } = loss
  const work = signal === undefined ? 'no signal' : `${signal}${stopSignals > 1 ? ` x${stopSignals}` : ''}, ended ${formatMs(endedAfterMs)} after`
  if (request === undefined) return `${kind} ${vm}: ${work}, ${detail}`
  const { id, habit, isIdempotent, answer, sentAfterMs, durationMs, limitMs, receivedBytes, runs, isServerWorking, isAfterExit } = request
  const facts = [
    `${habit} ${isIdempotent ? 'read' : 'order'} ${answer ?? 'not passed on'}`,
    `${work}, sent ${formatMs(sentAfterMs)} after${isAfterExit ? ', to the next process' : ''}`,
    `took ${formatMs(durationMs)} of ${formatMs(limitMs)}`,
    `${receivedBytes} bytes`,
    `${runs} runs${isServerWorking ? ', server at work' : ''}`,
    detail
  ]
  return `${kind} ${vm} ${id}: ${facts.join('; ')}`
}

function formatMs (ms: number | undefined): string {
  return ms === undefined ? '?' : `${Math.round(ms)} ms`
}
