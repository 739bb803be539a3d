/** The command line as a library, for tests. */
export * from './internal.js'
