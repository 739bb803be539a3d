/** Fixes the order in which the modules of this package load. */
export * from './types/log.js'
export * from './types/messages.js'
export * from './core/replica.js'
export * from './core/leaderReplication.js'
export * from './core/election.js'
export * from './core/followerReplication.js'
export * from './core/memberChanges.js'
export * from './core/step.js'
