/** Fixes the order in which the modules of this package are loaded. */
export * from './types/evidence.js'
export * from './types/bounds.js'
export * from './core/evidenceWindow.js'
export * from './core/judgement.js'
export * from './core/rolloutWatch.js'
export * from './core/rolloutPlan.js'
