/** Fixes the order in which the modules of this package load. */
export * from './types/ids.js'
export * from './utils/errors.js'
export * from './utils/random.js'
export * from './utils/hash.js'
export * from './utils/requestId.js'
export * from './core/chart.js'
export * from './plugins/chartFiles.js'
