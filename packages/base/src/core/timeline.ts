/** Discrete-event scheduler with virtual time, for models of the system. */
import TinyQueue from 'tinyqueue'
import type { Millis } from '../types/ids.js'

interface ScheduledEvent {
  readonly at: Millis
  /** Events at the same time run in the order in which they were scheduled. */
  readonly order: number
  readonly run: () => void
}

/** Virtual clock and the events scheduled on it. */
export interface Timeline {
  now: Millis
  scheduledCount: number
  readonly events: TinyQueue<ScheduledEvent>
}

export function createTimeline (startAt: Millis = 0): Timeline {
  return { now: startAt, scheduledCount: 0, events: new TinyQueue<ScheduledEvent>([], (a, b) => a.at - b.at || a.order - b.order) }
}

/** Schedules a callback at a time. It can't be cancelled: a callback that may become obsolete checks that itself. */
export function scheduleAt (timeline: Timeline, at: Millis, run: () => void): void {
  timeline.scheduledCount += 1
  timeline.events.push({ at, order: timeline.scheduledCount, run })
}

/** Schedules a callback after a delay; a negative delay counts as 0. */
export function scheduleAfter (timeline: Timeline, delayMs: Millis, run: () => void): void {
  scheduleAt(timeline, timeline.now + Math.max(0, delayMs), run)
}

/** Runs all events up to and including a time and advances the clock to it. */
export function runUntil (timeline: Timeline, endAt: Millis): void {
  for (;;) {
    const next = timeline.events.peek()
    if (next === undefined || next.at > endAt) break
    timeline.events.pop()
    timeline.now = Math.max(timeline.now, next.at)
    next.run()
  }
  timeline.now = Math.max(timeline.now, endAt)
}
