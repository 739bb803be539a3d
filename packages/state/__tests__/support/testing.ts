/** Builders for the tests of this package and, exported as `@lynxcourse/state/testing`, of other packages. */
export * from './route.js'
export * from './teams.js'
