/** Fixes the order in which the modules of this package are loaded. */
export * from './types/evidence.js'
export * from './types/bounds.js'
