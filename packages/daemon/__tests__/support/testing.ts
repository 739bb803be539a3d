/** Test support that tests of other packages use. */
export * from './freePorts.js'
export * from './workerCaller.js'
export * from './slowForwarder.js'
