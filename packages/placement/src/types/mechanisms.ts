/** Mechanisms of placement that can be left out, to find what each of them is worth. */

/** Each with what decides without it. */
export const mechanisms = {
  sharedLoad: 'queues at servers are known by this VM\'s own answers alone',
  silentServers: 'servers that answer nobody are found out by each VM alone',
  weights: 'all servers count alike in hashing',
  regionPlan: 'objects stay in the region of their callers',
  roomWait: 'a request without room is refused at once',
  workWeight: 'cold work counts its own time alone, however full the servers are',
  movedPrimaries: 'a new primary server counts as warm as any, though the object was seen beside it',
  cutRisk: 'cold work counts alike whether or not its deadline may cut it'
} as const

export type Mechanism = keyof typeof mechanisms

/** Whether a name is one of theirs. */
export function isMechanism (name: string): name is Mechanism {
  return Object.hasOwn(mechanisms, name)
}
