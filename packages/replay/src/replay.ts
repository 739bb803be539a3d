/**
 * Replays a load pattern against the decisions of entry VMs and of the load board, in virtual time.
 *
 * The decisions are those of `@lynxcourse/placement`, unchanged. What surrounds them is modelled: callers, ways, processor time of
 * entry VMs, and backend servers with slots, queues and objects that they keep warm.
 */
export * from './internal.js'
