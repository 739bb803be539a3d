/** Mechanisms of placement that can be disabled, to compare results with and without each of them. */

/** The mechanisms by name, with the behavior that replaces each one when it is disabled. */
export const mechanisms = {
  sharedLoad: 'each VM knows queue depths only from the answers that it receives',
  silentServers: 'each VM detects unresponsive servers by itself',
  limitShares: 'each VM computes its share of a server\'s limit from the number of VMs',
  serverPauses: 'a server that asks for no requests for a time is left alone for as little time as any full one',
  weights: 'all servers have the same weight in hashing',
  regionPlan: 'objects are served in the region of their callers',
  deadlineReach: 'a busy service uses only primary servers, also for requests that miss their deadline there',
  roomWait: 'a request that finds no capacity is refused at once',
  workWeight: 'work costs its own time, whatever the utilization',
  movedPrimaries: 'a new primary server is as likely to be warm as others, even if the object is warm at another server',
  cutRisk: 'cold work costs the same whether or not it may exceed its deadline'
} as const

export type Mechanism = keyof typeof mechanisms

/** Returns whether a name is the name of a mechanism. */
export function isMechanism (name: string): name is Mechanism {
  return Object.hasOwn(mechanisms, name)
}
