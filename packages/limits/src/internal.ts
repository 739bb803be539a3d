/** Fixes the order in which the modules of this package load. */
export * from './core/holder.js'
export * from './core/fairShares.js'
export * from './core/grantor.js'
