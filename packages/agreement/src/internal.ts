/** Re-exports the modules of this package in a fixed load order. */
export * from './types/log.js'
export * from './types/messages.js'
export * from './core/replica.js'
export * from './core/replication.js'
export * from './core/election.js'
export * from './core/following.js'
export * from './core/repair.js'
export * from './core/step.js'
