/** The order of VMs for one server. */

/** The ranking of one list of VMs. */
export interface VmRanking {
  readonly vms: readonly string[]
  readonly ranked: readonly string[]
}
