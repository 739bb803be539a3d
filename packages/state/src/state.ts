/**
 * The state that control VMs agree on: the configuration (profiles, services, drains, shifts, routes, evacuations and
 * backend servers), the register of claims and the shares of caps. All other VMs hold copies of the configuration,
 * which deltas keep up to date.
 */
export * from './internal.js'
