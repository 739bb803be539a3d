/** Re-exports the modules of this package in a fixed load order. */
export * from './types/ids.js'
export * from './utils/errors.js'
export * from './utils/random.js'
export * from './utils/hash.js'
export * from './utils/requestId.js'
export * from './utils/parseJson.js'
export * from './core/chart.js'
export * from './plugins/chartFiles.js'
