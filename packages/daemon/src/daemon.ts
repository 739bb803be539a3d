/** The daemon as a library, for tests and benchmarks: settings, storage, start and stop. */
export * from './internal.js'
