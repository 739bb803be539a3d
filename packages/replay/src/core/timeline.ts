/** Events in virtual time. */
import TinyQueue from 'tinyqueue'
import type { Millis } from '@lynxcourse/base'

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

export function createTimeline (): Timeline {
  return { now: 0, planned: 0, events: new TinyQueue<Event>([], (a, b) => a.at - b.at || a.order - b.order) }
}

/** Plans an act after a pause; one that is not wanted any more has to find out by itself. */
export function after (timeline: Timeline, pauseMs: Millis, act: () => void): void {
  timeline.planned += 1
  timeline.events.push({ at: timeline.now + Math.max(0, pauseMs), order: timeline.planned, act })
}

/** Plays all events up to a time. */
export function playUntil (timeline: Timeline, end: Millis): void {
  for (;;) {
    const next = timeline.events.peek()
    if (next === undefined || next.at > end) break
    timeline.events.pop()
    timeline.now = next.at
    next.act()
  }
  timeline.now = end
}
