/** Fixes the order in which the modules of this package are loaded. */
export * from './types/evidence.js'
export * from './types/bounds.js'
export * from './core/assignment.js'
export * from './core/exposure.js'
export * from './core/evidence.js'
export * from './core/ownVerdict.js'
