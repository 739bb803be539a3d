/** Re-exports the modules of this package in a fixed load order. */
export * from './types/records.js'
export * from './types/sync.js'
export * from './core/directory.js'
export * from './core/configLease.js'
export * from './core/syncTree.js'
