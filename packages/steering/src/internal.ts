/** Defines the load order of this package's modules. */
export * from './core/drainPlan.js'
export * from './core/readings.js'
export * from './core/shiftPlan.js'
