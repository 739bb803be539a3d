/** Fixes the order in which the modules of this package load. */
export * from './types/records.js'
export * from './types/sync.js'
export * from './core/directory.js'
export * from './core/configLease.js'
export * from './core/syncTree.js'
