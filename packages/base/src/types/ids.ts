/**
 * Branded ids: plain strings at run time that the compiler treats as distinct types, so that a region can't be passed
 * as a failure domain.
 */

type Branded<Base, Name extends string> = Base & { readonly __brand: Name }

/** Name of a VM of this system, unique across regions and unchanged by restarts. */
export type VmId = Branded<string, 'VmId'>
/** Distinguishes successive runs of a process or contents of a disk: a VM that lost its state gets a new incarnation. */
export type Incarnation = Branded<string, 'Incarnation'>
/** `vm/incarnation`: identifies a holder of claims and grants, or a copy of the replicated log. */
export type HolderId = Branded<string, 'HolderId'>
/** Name of a region, for example `kochi`. */
export type RegionId = Branded<string, 'RegionId'>
/** Name of a failure domain, unique across regions, for example `kochi-a`. */
export type FailureDomainId = Branded<string, 'FailureDomainId'>
/** Name of a service that backend servers offer. */
export type ServiceId = Branded<string, 'ServiceId'>
/** Name that a backend server announces. */
export type ServerId = Branded<string, 'ServerId'>
/** Name of a steering profile. */
export type ProfileName = Branded<string, 'ProfileName'>
/** Name of a team of callers, as operators configure it. */
export type TeamName = Branded<string, 'TeamName'>
/** Digest of a secret key by which a team's callers identify themselves. */
export type KeyDigest = Branded<string, 'KeyDigest'>
/** Digest of a request's contents, equal for all attempts of the same request at any VM. */
export type RequestFingerprint = Branded<string, 'RequestFingerprint'>
/** UUID v7 that a caller assigns to a request that must not run twice. */
export type RequestId = Branded<string, 'RequestId'>
/** Id of a configuration change; a repeated change gets the answer of the first one. */
export type ChangeId = Branded<string, 'ChangeId'>
/** Id of a drain. */
export type DrainId = Branded<string, 'DrainId'>
/** Id of a shift of traffic between regions. */
export type ShiftId = Branded<string, 'ShiftId'>
/** Name of a resource with a cap: `region:R`, `link:FROM>TO` or `shift:ID`. */
export type ResourceId = Branded<string, 'ResourceId'>
/** Milliseconds on a clock of one process; other processes can interpret only differences. */
export type Millis = number

/**
 * Brands a string as an id. Used where a value enters the system, after validation.
 *
 * @param text the validated string
 */
export function brandId<Id extends string> (text: string): Id {
  return text as Id
}

/** Builds the holder id of a VM and its incarnation. */
export function createHolderId (vm: VmId, incarnation: Incarnation): HolderId {
  return `${vm}/${incarnation}` as HolderId
}

/** Returns the VM of a holder id. */
export function getHolderVm (holder: HolderId): VmId {
  return holder.slice(0, holder.lastIndexOf('/')) as VmId
}
