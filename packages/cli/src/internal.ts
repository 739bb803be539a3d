/** Fixes the order in which the modules of this package load. */
export * from './utils/exitCodes.js'
export * from './utils/printing.js'
export * from './core/session.js'
export * from './core/changes.js'
export * from './core/completion.js'
export * from './core/commands/fleets.js'
export * from './core/commands/profiles.js'
export * from './core/program.js'
