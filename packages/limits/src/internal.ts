/** Defines the load order of this package's modules. */
export * from './core/holder.js'
export * from './core/fairShares.js'
export * from './core/grantor.js'
export * from './core/rates/ratePlan.js'
export * from './core/rates/permitIssuer.js'
export * from './core/rates/permitStore.js'
export * from './core/rates/issuerChoice.js'
