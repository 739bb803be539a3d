/** Events in virtual time, for models of the system. */
import TinyQueue from 'tinyqueue'
import type { Millis } from '../types/ids.js'

interface Event {
  readonly at: Millis
  /** Events of one moment keep the order in which they were planned. */
  readonly order: number
  readonly act: () => void
}

export interface Timeline {
  now: Millis
  planned: number
  readonly events: TinyQueue<Event>
}

export function createTimeline (startAt: Millis = 0): Timeline {
  return { now: startAt, planned: 0, events: new TinyQueue<Event>([], (a, b) => a.at - b.at || a.order - b.order) }
}

/** Plans an act for a time; one that is not wanted any more has to find out by itself. */
export function scheduleAt (timeline: Timeline, at: Millis, act: () => void): void {
  timeline.planned += 1
  timeline.events.push({ at, order: timeline.planned, act })
}

/** Plans an act after a pause. */
export function scheduleAfter (timeline: Timeline, pauseMs: Millis, act: () => void): void {
  scheduleAt(timeline, timeline.now + Math.max(0, pauseMs), act)
}

/** Plays all events up to a time. */
export function runUntil (timeline: Timeline, end: Millis): void {
  for (;;) {
    const next = timeline.events.peek()
    if (next === undefined || next.at > end) break
    timeline.events.pop()
    timeline.now = Math.max(timeline.now, next.at)
    next.act()
  }
  timeline.now = Math.max(timeline.now, end)
}
