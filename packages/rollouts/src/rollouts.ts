/**
 * Rollouts of server versions: how much an entry VM may send to a new version, what it observes there, and how the leader
 * judges the version and moves the service's objects to it. Decisions have no input or output; the time is an argument.
 */
export * from './internal.js'
