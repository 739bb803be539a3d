/** One VM's share of the slots of a service, and its requests in flight that the share bounds. */
import type { ServiceId } from '@lynxcourse/base'
import { createConcurrencyLimit } from '../admission/concurrencyLimit.js'
import type { ConcurrencyLimit } from '../admission/concurrencyLimit.js'
import { takesNewWork } from '../server/fleetServer.js'
import { countUsableSlots } from '../server/limitedServers.js'
import type { Fleet } from './fleet.js'

/** Returns the concurrency state of a service at this VM and creates it on first use. */
export function getConcurrency (fleet: Fleet, service: ServiceId): ConcurrencyLimit {
  const known = fleet.concurrency.get(service)
  if (known !== undefined) return known
  const created = createConcurrencyLimit(computeSlotShare(fleet, service))
  fleet.concurrency.set(service, created)
  return created
}

/** Bounds of a VM's slot share, as multiples of an equal share of all VMs. */
const minEqualShareFactor = 0.5
const maxEqualShareFactor = 3

/**
 * Computes this VM's share of a service's open slots, in proportion to its fraction of the demand. Equal shares would refuse
 * requests in a failure domain with a single VM, or in a region at its daily peak, while slots in the shares of other VMs are idle.
 */
export function computeSlotShare (fleet: Fleet, service: ServiceId): number {
  const equalFraction = 1 / Math.max(1, fleet.vms.length)
  const demandFraction = fleet.demandFractions.get(service) ?? equalFraction
  let slots = 0
  for (const server of fleet.byService.get(service) ?? []) {
    if (takesNewWork(server)) slots += countUsableSlots(server, fleet.meanSlotTimes.get(service))
  }
  return slots * Math.min(maxEqualShareFactor * equalFraction, Math.max(minEqualShareFactor * equalFraction, demandFraction))
}
