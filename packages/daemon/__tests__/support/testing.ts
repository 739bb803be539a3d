/** Test support that tests of other packages use. */
export * from './freePorts.js'
export * from './workerCaller.js'
export * from './slowForwarder.js'
export * from './fleetFixture.js'
export * from './scriptedCaller.js'
export * from './scriptedServer.js'
