/** The daemon as a library, for tests and benches: settings, storage, and starting and stopping. */
export * from './internal.js'
