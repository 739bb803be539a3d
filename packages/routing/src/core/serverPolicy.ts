/** How one of several VMs picks a backend server without asking the others. */
import { findOwnerByHash } from '@lynxcourse/base'
import type { Millis, Random, VmId } from '@lynxcourse/base'
import { countOpenSlots, reportedWeight } from './backends.js'
import type { ObservationCfg, ObservedServer } from './backends.js'

/** What a policy may look at. */
export interface PolicyContext {
  readonly cfg: ObservationCfg
  readonly self: VmId
  /** Entry VMs of the servers' region, this one among them if it is there. */
  readonly peers: readonly VmId[]
  readonly random: Random
  readonly now: Millis
}

/** A way of sharing servers among entry VMs. */
export abstract class ServerPolicy {
  /** Name in the settings. */
  abstract readonly name: string

  /** Slots of a server that this VM may fill. */
  abstract countUsableSlots (observed: ObservedServer, ctx: PolicyContext): number

  /** Whether the slot counts are shared out, so that no two VMs fill the same slot. */
  abstract readonly isShared: boolean

  /** Picks among servers that have a free slot: the less loaded of two drawn at random. */
  pick (candidates: readonly ObservedServer[], ctx: PolicyContext): ObservedServer | undefined {
    if (candidates.length <= 1) return candidates[0]
    const first = Math.floor(ctx.random() * candidates.length)
    const second = (first + 1 + Math.floor(ctx.random() * (candidates.length - 1))) % candidates.length
    const a = candidates[first] as ObservedServer
    const b = candidates[second] as ObservedServer
    return this.loadOf(a, ctx) <= this.loadOf(b, ctx) ? a : b
  }

  /** Share of a server's slots in use: our own work, or what the server reports if that is more. */
  protected loadOf (observed: ObservedServer, ctx: PolicyContext): number {
    const busy = Math.max(observed.inFlight, reportedWeight(ctx.cfg, observed, ctx.now))
    return busy / countOpenSlots(ctx.cfg, observed, ctx.now)
  }
}

/**
 * Whether this VM stands outside the servers' region. It owns nothing there, and yet its callers must
 * find a way when their own region is drained or full: it takes what is free, within the link's cap.
 */
function isForeign (ctx: PolicyContext): boolean {
  return !ctx.peers.includes(ctx.self)
}

/** Each VM for itself; two may pick the same slot, and the server sheds the second. */
export class AlonePolicy extends ServerPolicy {
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
  private readonly owners = new Map<string, readonly (VmId | undefined)[]>()

  override countUsableSlots (observed: ObservedServer, ctx: PolicyContext): number {
    const open = countOpenSlots(ctx.cfg, observed, ctx.now)
    if (isForeign(ctx)) return open
    let mine = 0
    for (const owner of this.ownersOf(observed, ctx).slice(0, open)) {
      if (owner === ctx.self) mine += 1
    }
    return mine
  }

  private ownersOf (observed: ObservedServer, ctx: PolicyContext): readonly (VmId | undefined)[] {
    const { id, slots } = observed.backend
    const key = `${id} ${slots} ${ctx.peers.join()}`
    const known = this.owners.get(key)
    if (known !== undefined) return known
    if (this.owners.size > maxKnownOwners) this.owners.clear()
    const owners = Array.from({ length: slots }, (_, slot) => findOwnerByHash(`${id} ${slot}`, ctx.peers))
    this.owners.set(key, owners)
    return owners
  }
}

const maxKnownOwners = 10_000

/** Each server belongs to one VM of the region, by rendezvous hashing. */
export class OwnerPolicy extends ServerPolicy {
  readonly name = 'owner'
  readonly isShared = true

  override countUsableSlots (observed: ObservedServer, ctx: PolicyContext): number {
    const mayFill = isForeign(ctx) || findOwnerByHash(observed.backend.id, ctx.peers) === ctx.self
    return mayFill ? countOpenSlots(ctx.cfg, observed, ctx.now) : 0
  }
}

/** Names of the policies, as settings spell them. */
export const policyNames = ['alone', 'slots', 'owner'] as const

export type PolicyName = typeof policyNames[number]

/** Makes a policy by its name. */
export function createServerPolicy (name: PolicyName): ServerPolicy {
  switch (name) {
    case 'alone': return new AlonePolicy()
    case 'slots': return new SlotLeasePolicy()
    case 'owner': return new OwnerPolicy()
  }
}
