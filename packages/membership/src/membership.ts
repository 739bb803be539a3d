/**
 * Membership of VMs and backend servers, the sync tree that distributes it, and the configuration lease.
 */
export * from './internal.js'
