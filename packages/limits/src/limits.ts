/** Caps on requests in flight, divided among holders as grants that expire. */
export * from './internal.js'
