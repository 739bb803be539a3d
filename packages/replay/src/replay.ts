/**
 * Replays a load pattern against the placement decisions of entry VMs and of the load board, in virtual time.
 *
 * The decisions are made by the code of `@lynxcourse/placement`. Everything else is a model: callers, network delays, processor
 * time of entry VMs, and backend servers with slots, queues and a cache of warm objects.
 */
export * from './internal.js'
