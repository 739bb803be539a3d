/**
 * How long a connection may rest before a request that must not repeat goes over it.
 *
 * What can go wrong: servers forget idle connections without a word and reset whatever comes over them next. An
 * idempotent request is sent again; one that must not repeat is lost, since nobody can tell whether it ran. It shows
 * as resets of requests right after their connections had rested, at several servers at once. So the shortest such
 * rest bounds the others for a while; the idempotent requests, which are most, find it out for them.
 *
 * Something between the ends may also lose track of all connections that are open at one moment: they go silent without
 * a reset. It shows as requests over rested connections that get no answer, at several servers. From then on a
 * connection counts only if it showed life after the silent ones did for the last time.
 */
import type { Millis } from '@lynxcourse/base'

interface Reset { readonly address: string, readonly restedMs: Millis, readonly at: Millis }

/** A connection that went silent under a request, and when it had shown life for the last time. */
interface Silence { readonly address: string, readonly lifeAt: Millis, readonly at: Millis }

/** Resets and silences of rested connections, the latest last. */
export interface IdleConnectionHistory {
  resets: Reset[]
  silences: Silence[]
}

/** Resets of that time ago count; servers that forget do so for seconds. */
const rememberedMs: Millis = 8000
/** One server that resets has perhaps crashed; so many different ones forget. */
const leastServers = 2
/** Rests shorter than this tell of a crash under load, not of an idle connection. */
const leastRestMs: Millis = 100
/** Part of the shortest rest that was reset which still counts as safe. */
const safePart = 0.7
const maxResets = 200

export function createIdleConnectionHistory (): IdleConnectionHistory {
  return { resets: [], silences: [] }
}

/** Notes that a request over a rested connection was reset without an answer. */
export function recordResetAfterIdle (memory: IdleConnectionHistory, address: string, restedMs: Millis, now: Millis): void {
  if (restedMs < leastRestMs) return
  memory.resets = [...memory.resets.filter(reset => now - reset.at < rememberedMs), { address, restedMs, at: now }].slice(-maxResets)
}

/** Notes that a request over a rested connection got no answer. */
export function recordUnansweredAfterIdle (memory: IdleConnectionHistory, address: string, restedMs: Millis, takenAt: Millis, now: Millis): void {
  if (restedMs < leastRestMs) return
  memory.silences = [...memory.silences.filter(silence => now - silence.at < rememberedMs), { address, lifeAt: takenAt - restedMs, at: now }].slice(-maxResets)
}

/** Longest rest after which a connection still carries a request that must not repeat; Infinity while nothing speaks against it. */
export function getMaxIdleMs (memory: IdleConnectionHistory, now: Millis): Millis {
  return Math.min(restBeforeReset(memory, now), restSinceSilence(memory, now))
}

function restBeforeReset ({ resets }: IdleConnectionHistory, now: Millis): Millis {
  const recent = resets.filter(reset => now - reset.at < rememberedMs)
  return isAtSeveral(recent) ? Math.min(...recent.map(reset => reset.restedMs)) * safePart : Infinity
}

function restSinceSilence ({ silences }: IdleConnectionHistory, now: Millis): Millis {
  const recent = silences.filter(silence => now - silence.at < rememberedMs)
  return isAtSeveral(recent) ? now - Math.max(...recent.map(silence => silence.lifeAt)) : Infinity
}

function isAtSeveral (events: ReadonlyArray<{ readonly address: string }>): boolean {
  return new Set(events.map(event => event.address)).size >= leastServers
}
