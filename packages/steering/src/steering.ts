/** Progress and next steps of drains and of traffic shifts between regions. */
export * from './internal.js'
