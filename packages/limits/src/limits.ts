/** Caps on requests in flight, shared out as grants that expire. */
export * from './internal.js'
