/** Tracks which servers recently handled which objects, so that requests for an object are sent to a warm server. */
import type { Millis, ServerId } from '@lynxcourse/base'

/** The recent requests of one VM, by server and by object. */
export interface WarmObjects {
  /** The objects of each server in order of use, the latest last. */
  readonly byServer: Map<ServerId, Map<string, Millis>>
  /** The servers in `byServer` that handled an object, so that a request checks few of the many servers. */
  readonly byObject: Map<string, Set<ServerId>>
}

/** Number of objects that a server is assumed to keep warm; above it, the least recently used one is forgotten. */
const maxObjectsPerServer = 40
/** Time after its last use for which an object is assumed to be warm at a server. */
const warmForMs = 20_000

export function createWarmObjects (): WarmObjects {
  return { byServer: new Map(), byObject: new Map() }
}

/** Records that a server handled an object. */
export function recordObjectUse (warmObjects: WarmObjects, server: ServerId, object: string, now: Millis): void {
  const objects = warmObjects.byServer.get(server) ?? new Map<string, Millis>()
  objects.delete(object)
  objects.set(object, now)
  const [oldest] = objects.keys()
  if (objects.size > maxObjectsPerServer && oldest !== undefined) {
    objects.delete(oldest)
    removeCandidate(warmObjects, server, oldest)
  }
  warmObjects.byServer.set(server, objects)
  const candidates = warmObjects.byObject.get(object)
  if (candidates === undefined) warmObjects.byObject.set(object, new Set([server]))
  else candidates.add(server)
}

/** Returns the servers that may be warm for an object; call `isWarm` for each of them. */
export function getWarmCandidates (warmObjects: WarmObjects, object: string): ReadonlySet<ServerId> {
  return warmObjects.byObject.get(object) ?? noServers
}

const noServers: ReadonlySet<ServerId> = new Set()

function removeCandidate (warmObjects: WarmObjects, server: ServerId, object: string): void {
  const candidates = warmObjects.byObject.get(object)
  candidates?.delete(server)
  if (candidates?.size === 0) warmObjects.byObject.delete(object)
}

/** Returns whether this VM recently saw a server handle an object. */
export function isWarm (warmObjects: WarmObjects, server: ServerId, object: string, now: Millis): boolean {
  const usedAt = warmObjects.byServer.get(server)?.get(object)
  return usedAt !== undefined && now - usedAt < warmForMs
}

/** Forgets a server that ended or came back cold. */
export function forgetServer (warmObjects: WarmObjects, server: ServerId): void {
  for (const object of warmObjects.byServer.get(server)?.keys() ?? []) removeCandidate(warmObjects, server, object)
  warmObjects.byServer.delete(server)
}
