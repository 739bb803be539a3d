/**
 * Decisions of a fleet, without input or output and with the time as an argument: which server gets a request, what an object,
 * a region, a server and a service are worth now, what is refused and sent again, and what all VMs together saw of the load.
 */
export * from './internal.js'
