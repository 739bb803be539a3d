/** Ranks the entry VMs for a server by rendezvous hashing, once for each list of VMs. */
import { rankByHash } from '@lynxcourse/base'
import type { FleetServer } from './fleetServer.js'

/**
 * Returns the VMs in their order for a server. Each choice of a server asks this for each cold or limited server: hashing 56 names
 * for each of 69 cold servers takes several milliseconds, for one request and again each time that a waiting request is checked.
 *
 * @param vms the same array as long as the list is the same; a list that changed must be another array
 */
export function rankVms (server: FleetServer, vms: readonly string[]): readonly string[] {
  if (server.vmRanking?.vms !== vms) server.vmRanking = { vms, ranked: rankByHash(server.facts.id, vms) }
  return server.vmRanking.ranked
}
