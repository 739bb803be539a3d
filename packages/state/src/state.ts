/**
 * The state that control VMs agree on: configuration (profiles, picks, drains, shifts), the
 * register of claims and the shares of caps; and the copies of the configuration that all other VMs
 * keep by deltas.
 */
export * from './internal.js'
