/**
 * Routing at an entry VM: lookups, the order of regions, admission, the choice of a backend server, retries and the
 * state of pooled connections.
 */
export * from './internal.js'
