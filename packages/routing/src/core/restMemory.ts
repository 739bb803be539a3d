/**
 * How long a connection may rest before a request that must not repeat goes over it.
 *
 * What can go wrong: servers forget idle connections without a word and reset whatever comes over them next. An
 * idempotent request is sent again; one that must not repeat is lost, since nobody can tell whether it ran. It shows
 * as resets of requests right after their connections had rested, at several servers at once. So the shortest such
 * rest bounds the others for a while; the idempotent requests, which are most, find it out for them.
 */
import type { Millis } from '@lynxcourse/base'

interface Reset { readonly address: string, readonly restedMs: Millis, readonly at: Millis }

/** Resets of rested connections, the latest last. */
export interface RestMemory {
  resets: Reset[]
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

export function createRestMemory (): RestMemory {
  return { resets: [] }
}

/** Notes that a request over a rested connection was reset without an answer. */
export function noteRestedReset (memory: RestMemory, address: string, restedMs: Millis, now: Millis): void {
  if (restedMs < leastRestMs) return
  memory.resets = [...memory.resets.filter(reset => now - reset.at < rememberedMs), { address, restedMs, at: now }].slice(-maxResets)
}

/** Longest rest after which a connection still carries a request that must not repeat; Infinity while nothing speaks against it. */
export function longestRest (memory: RestMemory, now: Millis): Millis {
  const recent = memory.resets.filter(reset => now - reset.at < rememberedMs)
  if (new Set(recent.map(reset => reset.address)).size < leastServers) return Infinity
  return Math.min(...recent.map(reset => reset.restedMs)) * safePart
}
