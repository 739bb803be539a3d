/** Which servers handled which objects lately, so that requests for one object meet a warm server. */
import type { Millis, ServerId } from '@lynxcourse/base'

/** What one VM remembers of its own requests. */
export interface Warmth {
  /** By server, the objects in order of use, the latest last. */
  readonly byServer: Map<ServerId, Map<string, Millis>>
}

/** Objects that a server is taken to keep warm; beyond it the one used longest ago is forgotten. */
const objectsPerServer = 40
/** A server is taken to be warm for an object for this long after its last use. */
const warmForMs = 20_000

export function createWarmth (): Warmth {
  return { byServer: new Map() }
}

/** Notes that a server handled an object. */
export function noteHandled (warmth: Warmth, server: ServerId, object: string, now: Millis): void {
  const objects = warmth.byServer.get(server) ?? new Map<string, Millis>()
  objects.delete(object)
  objects.set(object, now)
  const [oldest] = objects.keys()
  if (objects.size > objectsPerServer && oldest !== undefined) objects.delete(oldest)
  warmth.byServer.set(server, objects)
}

/** Whether this VM saw a server handle an object lately. */
export function isWarm (warmth: Warmth, server: ServerId, object: string, now: Millis): boolean {
  const at = warmth.byServer.get(server)?.get(object)
  return at !== undefined && now - at < warmForMs
}

/** Forgets a server that ended, or came back cold. */
export function forgetServer (warmth: Warmth, server: ServerId): void {
  warmth.byServer.delete(server)
}
