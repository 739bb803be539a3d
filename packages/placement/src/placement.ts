/**
 * The decisions of a fleet, as pure functions without input or output that get the time as an argument: which server
 * gets a request, how an object, a region, a server and a service are weighted, which requests are rejected or retried,
 * and how the load that all VMs observe is combined.
 */
export * from './internal.js'
