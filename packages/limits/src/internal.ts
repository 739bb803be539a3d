/** Defines the load order of this package's modules. */
export * from './core/holder.js'
export * from './core/fairShares.js'
export * from './core/grantor.js'
