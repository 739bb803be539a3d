/** Which servers handled which objects lately, so that requests for one object meet a warm server. */
import type { Millis, ServerId } from '@lynxcourse/base'

/** What one VM remembers of its own requests. */
export interface Warmth {
  /** By server, the objects in order of use, the latest last. */
  readonly byServer: Map<ServerId, Map<string, Millis>>
  /** By object, the servers in `byServer` that hold it: a request asks for few of the many servers. */
  readonly byObject: Map<string, Set<ServerId>>
}

/** Objects that a server is taken to keep warm; beyond it the one used longest ago is forgotten. */
const objectsPerServer = 40
/** A server is taken to be warm for an object for this long after its last use. */
const warmForMs = 20_000

export function createWarmth (): Warmth {
  return { byServer: new Map(), byObject: new Map() }
}

/** Notes that a server handled an object. */
export function noteHandled (warmth: Warmth, server: ServerId, object: string, now: Millis): void {
  const objects = warmth.byServer.get(server) ?? new Map<string, Millis>()
  objects.delete(object)
  objects.set(object, now)
  const [oldest] = objects.keys()
  if (objects.size > objectsPerServer && oldest !== undefined) {
    objects.delete(oldest)
    dropHolder(warmth, server, oldest)
  }
  warmth.byServer.set(server, objects)
  const holders = warmth.byObject.get(object)
  if (holders === undefined) warmth.byObject.set(object, new Set([server]))
  else holders.add(server)
}

/** Servers that may be warm for an object; ask `isWarm` of each. */
export function holdersOf (warmth: Warmth, object: string): ReadonlySet<ServerId> {
  return warmth.byObject.get(object) ?? noServers
}

const noServers: ReadonlySet<ServerId> = new Set()

function dropHolder (warmth: Warmth, server: ServerId, object: string): void {
  const holders = warmth.byObject.get(object)
  holders?.delete(server)
  if (holders?.size === 0) warmth.byObject.delete(object)
}

/** Whether this VM saw a server handle an object lately. */
export function isWarm (warmth: Warmth, server: ServerId, object: string, now: Millis): boolean {
  const at = warmth.byServer.get(server)?.get(object)
  return at !== undefined && now - at < warmForMs
}

/** Forgets a server that ended, or came back cold. */
export function forgetServer (warmth: Warmth, server: ServerId): void {
  for (const object of warmth.byServer.get(server)?.keys() ?? []) dropHolder(warmth, server, object)
  warmth.byServer.delete(server)
}
