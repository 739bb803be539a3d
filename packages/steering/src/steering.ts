/** Drains and shifts: how far they are and what their next step is. */
export * from './internal.js'
