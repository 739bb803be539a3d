/**
 * Membership of VMs and backend servers, the tree that spreads it, and the lease on being current.
 */
export * from './internal.js'
