/** Time constants of the model, in milliseconds. They are shorter than the daemon's, in the same proportions. */
export const times = {
  heartbeatMs: 50,
  electionMs: 300,
  syncMs: 150,
  reportMs: 150,
  leaseMs: 1200,
  grantMs: 1000,
  deadlineMs: 400,
  serviceMs: 40
} as const
