/** Policies by which an entry VM selects a backend server without consulting the other VMs. */
import { findOwnerByHash } from '@lynxcourse/base'
import type { Millis, Random, VmId } from '@lynxcourse/base'
import { countOpenSlots, estimateReportedLoad } from './backends.js'
import type { ObservationCfg, ObservedServer } from './backends.js'

/** The inputs of a policy besides the servers. */
export interface PolicyContext {
  readonly cfg: ObservationCfg
  readonly self: VmId
  /** Entry VMs that share the servers, usually those of the servers' region; includes `self` only if it is one of them. */
  readonly peers: readonly VmId[]
  readonly random: Random
  readonly now: Millis
}

/** A policy for dividing servers among entry VMs. */
export abstract class ServerPolicy {
  /** Name in the settings. */
  abstract readonly name: string

  /** Returns how many slots of a server this VM may use. */
  abstract countUsableSlots (observed: ObservedServer, ctx: PolicyContext): number

  /** Whether slots are divided among VMs, so that no two VMs of the region use the same slot. */
  abstract readonly isShared: boolean

  /** Selects among servers with a free slot: of two chosen at random, the one with the lower utilization. */
  pick (candidates: readonly ObservedServer[], ctx: PolicyContext): ObservedServer | undefined {
    if (candidates.length <= 1) return candidates[0]
    const first = Math.floor(ctx.random() * candidates.length)
    const second = (first + 1 + Math.floor(ctx.random() * (candidates.length - 1))) % candidates.length
    const a = candidates[first] as ObservedServer
    const b = candidates[second] as ObservedServer
    return this.estimateUtilization(a, ctx) <= this.estimateUtilization(b, ctx) ? a : b
  }

  /** Estimates the fraction of a server's open slots in use, from this VM's own requests or the server's report, if higher. */
  protected estimateUtilization (observed: ObservedServer, ctx: PolicyContext): number {
    const busy = Math.max(observed.inFlight, estimateReportedLoad(ctx.cfg, observed, ctx.now))
    return busy / countOpenSlots(ctx.cfg, observed, ctx.now)
  }
}

/**
 * Returns whether this VM is outside the servers' region. Such a VM owns no slots there, but its callers depend on
 * them when their own region is drained or full. It may therefore use any slot, within the cap of the link.
 */
function isRemote (ctx: PolicyContext): boolean {
  return !ctx.peers.includes(ctx.self)
}

/** VMs decide independently. Two may choose the same slot, and the server then sheds the second request. */
export class IndependentPolicy extends ServerPolicy {
  readonly name = 'alone'
  readonly isShared = false

  override countUsableSlots (observed: ObservedServer, ctx: PolicyContext): number {
    return countOpenSlots(ctx.cfg, observed, ctx.now)
  }
}

/** Each slot belongs to one VM of the region, by rendezvous hashing. */
export class SlotLeasePolicy extends ServerPolicy {
  readonly name = 'slots'
  readonly isShared = true
  private readonly ownersCache = new Map<string, readonly (VmId | undefined)[]>()

  override countUsableSlots (observed: ObservedServer, ctx: PolicyContext): number {
    const open = countOpenSlots(ctx.cfg, observed, ctx.now)
    if (isRemote(ctx)) return open
    let ownSlots = 0
    for (const owner of this.getSlotOwners(observed, ctx).slice(0, open)) {
      if (owner === ctx.self) ownSlots += 1
    }
    return ownSlots
  }

  private getSlotOwners (observed: ObservedServer, ctx: PolicyContext): readonly (VmId | undefined)[] {
    const { id, slots } = observed.backend
    const key = `${id} ${slots} ${ctx.peers.join()}`
    const cached = this.ownersCache.get(key)
    if (cached !== undefined) return cached
    if (this.ownersCache.size > maxCachedOwners) this.ownersCache.clear()
    const owners = Array.from({ length: slots }, (_, slot) => findOwnerByHash(`${id} ${slot}`, ctx.peers))
    this.ownersCache.set(key, owners)
    return owners
  }
}

const maxCachedOwners = 10_000

/** Each server belongs to one VM of the region, by rendezvous hashing. */
export class OwnerPolicy extends ServerPolicy {
  readonly name = 'owner'
  readonly isShared = true

  override countUsableSlots (observed: ObservedServer, ctx: PolicyContext): number {
    const mayUse = isRemote(ctx) || findOwnerByHash(observed.backend.id, ctx.peers) === ctx.self
    return mayUse ? countOpenSlots(ctx.cfg, observed, ctx.now) : 0
  }
}

/** Names of the policies in the settings. */
export const policyNames = ['alone', 'slots', 'owner'] as const

export type PolicyName = typeof policyNames[number]

/** Creates the policy of the given name. */
export function createServerPolicy (name: PolicyName): ServerPolicy {
  switch (name) {
    case 'alone': return new IndependentPolicy()
    case 'slots': return new SlotLeasePolicy()
    case 'owner': return new OwnerPolicy()
  }
}
