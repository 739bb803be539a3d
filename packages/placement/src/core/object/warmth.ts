/** Tracks which servers recently handled which objects, so that requests for an object are sent to a warm server. */
import type { Millis, ServerId } from '@lynxcourse/base'

/** The recent requests of one VM, by server and by object. */
export interface Warmth {
  /** The objects of each server in order of use, the latest last. */
  readonly byServer: Map<ServerId, Map<string, Millis>>
  /** The servers in `byServer` that handled an object, so that a request checks few of the many servers. */
  readonly byObject: Map<string, Set<ServerId>>
}

/** Number of objects that a server is assumed to keep warm; above it, the least recently used one is forgotten. */
const maxObjectsPerServer = 40
/** Time after its last use for which an object is assumed to be warm at a server. */
const warmForMs = 20_000

export function createWarmth (): Warmth {
  return { byServer: new Map(), byObject: new Map() }
}

/** Records that a server handled an object. */
export function noteHandled (warmth: Warmth, server: ServerId, object: string, now: Millis): void {
  const objects = warmth.byServer.get(server) ?? new Map<string, Millis>()
  objects.delete(object)
  objects.set(object, now)
  const [oldest] = objects.keys()
  if (objects.size > maxObjectsPerServer && oldest !== undefined) {
    objects.delete(oldest)
    removeCandidate(warmth, server, oldest)
  }
  warmth.byServer.set(server, objects)
  const candidates = warmth.byObject.get(object)
  if (candidates === undefined) warmth.byObject.set(object, new Set([server]))
  else candidates.add(server)
}

/** Returns the servers that may be warm for an object; call `isWarm` for each of them. */
export function holdersOf (warmth: Warmth, object: string): ReadonlySet<ServerId> {
  return warmth.byObject.get(object) ?? noServers
}

const noServers: ReadonlySet<ServerId> = new Set()

function removeCandidate (warmth: Warmth, server: ServerId, object: string): void {
  const candidates = warmth.byObject.get(object)
  candidates?.delete(server)
  if (candidates?.size === 0) warmth.byObject.delete(object)
}

/** Returns whether this VM recently saw a server handle an object. */
export function isWarm (warmth: Warmth, server: ServerId, object: string, now: Millis): boolean {
  const usedAt = warmth.byServer.get(server)?.get(object)
  return usedAt !== undefined && now - usedAt < warmForMs
}

/** Forgets a server that ended or came back cold. */
export function forgetServer (warmth: Warmth, server: ServerId): void {
  for (const object of warmth.byServer.get(server)?.keys() ?? []) removeCandidate(warmth, server, object)
  warmth.byServer.delete(server)
}
