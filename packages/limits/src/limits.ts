/** Caps on requests in flight, divided among holders as grants that expire, and rates, divided among issuers of permits. */
export * from './internal.js'
