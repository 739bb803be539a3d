/**
 * The leader's judgement of servers that answer nobody.
 *
 * What can go wrong: servers go dark at once, with a failure domain or a region. Each entry VM finds each of them out by
 * requests of its own, and what must not repeat is lost with them: all VMs together lose thousands of requests before
 * announcements are missed. It shows as failures at the same servers from all VMs in turn. One VM's failure may be its own link's; a
 * server that fails several VMs while none has an answer from it is left alone by all, for a while.
 */
import type { Millis, ServerId } from '@lynxcourse/base'
import type { LoadDigest } from '../../types/loads.js'

interface Silence { vms: number, at: Millis }

export interface SilentServers {
  /** Entry VMs that a server failed since its last answer to anyone. */
  readonly failed: Map<ServerId, Silence>
  /** Servers that answered some VM with their load; of others nothing would show that they live. */
  readonly answered: Set<ServerId>
}

/** One VM's failure may be its own link's. */
const leastVms = 2
/** Without a new failure a server is tried again after this; it costs the requests of about a second at all VMs. */
const leftAloneMs: Millis = 3000

export function createSilentServers (): SilentServers {
  return { failed: new Map(), answered: new Set() }
}

/** Takes a control VM's digest; an answer in it counts for more than a failure, since their order is not known. */
export function noteSilences (silent: SilentServers, digest: LoadDigest, now: Millis): void {
  for (const [id, vms] of digest.failed) {
    const held = silent.failed.get(id)
    const before = held === undefined || now - held.at > leftAloneMs ? 0 : held.vms
    silent.failed.set(id, { vms: before + vms, at: now })
  }
  for (const [id] of digest.servers) {
    silent.answered.add(id)
    silent.failed.delete(id)
  }
}

/** Servers to be left alone now; forgets those that are not known any more. */
export function silentNow (silent: SilentServers, isKnown: (id: ServerId) => boolean, now: Millis): ServerId[] {
  for (const id of silent.answered) if (!isKnown(id)) silent.answered.delete(id)
  const named: ServerId[] = []
  for (const [id, { vms, at }] of silent.failed) {
    if (!isKnown(id) || now - at > leftAloneMs) silent.failed.delete(id)
    else if (vms >= leastVms && silent.answered.has(id)) named.push(id)
  }
  return named
}
