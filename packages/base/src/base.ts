/**
 * Foundations shared by all packages of lynxcourse: branded ids, the error table, state charts, request ids, hashing and
 * random numbers.
 */
export * from './internal.js'
