/** Fixes the order in which the modules of this package load. */
export * from './core/drainPlan.js'
export * from './core/readings.js'
export * from './core/shiftPlan.js'
