/** Exports the modules of the command line to tests and scripts. */
export * from './internal.js'
