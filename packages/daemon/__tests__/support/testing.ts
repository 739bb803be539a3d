/** What tests of other packages use of the daemon's. */
export * from './freePorts.js'
export * from './workerCaller.js'
