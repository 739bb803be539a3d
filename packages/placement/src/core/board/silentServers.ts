/**
 * Detects servers that answer no VM.
 *
 * When a failure domain or a region fails, many servers stop answering at the same time. If each entry VM detected each
 * of them by its own requests, the requests that must not be repeated would be lost: thousands over all VMs, before the
 * missed announcements show. The symptom is failures at the same servers from one VM after the other. The failure of a
 * single VM may be caused by its own link. A server that fails several VMs while none gets an answer from it is
 * therefore excluded by all VMs for some time.
 */
import type { Millis, ServerId } from '@lynxcourse/base'
import type { LoadDigest } from '../../types/loads.js'

interface ServerFailures { vms: number, at: Millis }

export interface SilentServers {
  /** Number of entry VMs that a server failed since its last answer to any VM. */
  readonly failed: Map<ServerId, ServerFailures>
  /** When some VM last reported an answer with the load of a server. For other servers, an answer would not show here. */
  readonly answered: Map<ServerId, Millis>
}

/** A single VM's failure may be caused by its own link. */
const minFailedVms = 2
/**
 * Time without a new failure after which a server is tried again. A trial costs all VMs the requests of about one
 * second.
 */
const exclusionMs: Millis = 3000

/**
 * Time in which a reported answer outweighs failures: longer than an exchange, in which each control VM reports what its
 * VMs observed. Otherwise, when two failure domains can't reach each other, the failures that each of them reports about the
 * other's servers would exclude these servers for all VMs between two reports of those that reach them.
 */
const answerTtlMs: Millis = 600

export function createSilentServers (): SilentServers {
  return { failed: new Map(), answered: new Map() }
}

/** Applies a control VM's digest. An answer in it outweighs a failure, since their order is not known. */
export function recordFailures (silent: SilentServers, digest: LoadDigest, now: Millis): void {
  for (const [id, vms] of digest.failed) {
    const stored = silent.failed.get(id)
    const previous = stored === undefined || now - stored.at > exclusionMs ? 0 : stored.vms
    silent.failed.set(id, { vms: previous + vms, at: now })
  }
  for (const [id] of digest.servers) {
    silent.answered.set(id, now)
    silent.failed.delete(id)
  }
}

/** Returns the servers to exclude now, and forgets servers that are not known any more. */
export function listSilentServers (silent: SilentServers, isKnown: (id: ServerId) => boolean, now: Millis): ServerId[] {
  for (const id of silent.answered.keys()) if (!isKnown(id)) silent.answered.delete(id)
  const excluded: ServerId[] = []
  for (const [id, { vms, at }] of silent.failed) {
    if (!isKnown(id) || now - at > exclusionMs) silent.failed.delete(id)
    else if (vms >= minFailedVms && now - (silent.answered.get(id) ?? Infinity) >= answerTtlMs) excluded.push(id)
  }
  return excluded
}
