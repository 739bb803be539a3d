/**
 * Branded ids: a plain string at run time that the compiler keeps apart from every other kind of
 * id, so that a region can't be passed where a failure domain is meant.
 */

type Branded<Base, Name extends string> = Base & { readonly __brand: Name }

/** Name of a VM of this system, unique across regions; it survives restarts. */
export type VmId = Branded<string, 'VmId'>
/** One life of a process or of a disk: a VM that lost its state returns under a new one. */
export type Incarnation = Branded<string, 'Incarnation'>
/** `vm/incarnation`: one holder of claims and grants, or one copy of the replicated log. */
export type HolderId = Branded<string, 'HolderId'>
/** Name of a region, for example `kochi`. */
export type RegionId = Branded<string, 'RegionId'>
/** Name of a failure domain, unique across regions, for example `kochi-a`. */
export type FailureDomainId = Branded<string, 'FailureDomainId'>
/** Name of a service that backend servers offer. */
export type ServiceId = Branded<string, 'ServiceId'>
/** Name under which a backend server announces itself. */
export type ServerId = Branded<string, 'ServerId'>
/** Name of a steering profile. */
export type ProfileName = Branded<string, 'ProfileName'>
/** UUID v7 that a caller gives to a request that must not run twice. */
export type RequestId = Branded<string, 'RequestId'>
/** Id of one configuration change; sent again, it gets its first answer. */
export type ChangeId = Branded<string, 'ChangeId'>
/** Id of one drain. */
export type DrainId = Branded<string, 'DrainId'>
/** Id of one shift of traffic between regions. */
export type ShiftId = Branded<string, 'ShiftId'>
/** Name of something with a cap: `region:R`, `link:FROM>TO` or `shift:ID`. */
export type ResourceId = Branded<string, 'ResourceId'>
/** Milliseconds on some clock of one process; only differences have a meaning elsewhere. */
export type Millis = number

/**
 * Gives a string its brand. Use it where a value enters the system, after its check.
 *
 * @param text the checked string
 */
export function brandId<Id extends string> (text: string): Id {
  return text as Id
}

/** Joins a VM and its incarnation to the id of one holder. */
export function createHolderId (vm: VmId, incarnation: Incarnation): HolderId {
  return `${vm}/${incarnation}` as HolderId
}

/** The VM part of a holder's id. */
export function getHolderVm (holder: HolderId): VmId {
  return holder.slice(0, holder.lastIndexOf('/')) as VmId
}
