/** Fixes the order in which the modules of this package load. */
export * from './types/records.js'
export * from './types/sync.js'
export * from './core/directory.js'
export * from './core/currency.js'
export * from './core/tree.js'
