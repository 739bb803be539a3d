/**
 * What every package of lynxcourse shares: branded ids, the table of errors, state charts, request
 * ids, hashing and random numbers.
 */
export * from './internal.js'
