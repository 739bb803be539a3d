/** Classifies decisions by why their requests were, or may have been, late or lost. */
import type { Decision } from './readDecision.js'

/** Causes, in order of decreasing cost to the caller. */
export const causes = [
  'lost with its server', 'timeout under cold work', 'timeout', 'refused: bound of the VM', 'refused: queues at servers', 'refused: no time left',
  'refused: no server', 'refused: limits of servers', 'refused: servers pause', 'refused: ended servers', 'refused: over the rate of its team', 'refused: no permits', 'rejected: unknown key',
  'rejected: state not confirmed', 'rejected: no region', 'shed by its server', 'turned away for a time', 'server closed before the send', 'cold: first touch', 'cold: placed anew', 'cold: beside its server', 'slower than expected', 'as expected',
  'caller gone'
] as const

export type Cause = typeof causes[number]

/** Servers that handled each object, according to the lines read so far. */
export type SeenServers = Map<string, Set<string>>

/** An answer that took more than this multiple of the expected time counts as slow. */
const slowRatio = 1.5
/** Fraction of a VM's limit from which a refusal is attributed to the limit; the least urgent requests may use this much. */
const boundFraction = 0.8

/** Classifies one decision and records its server in `seenServers` for later decisions on the same object. */
export function classifyDecision (seenServers: SeenServers, decision: Decision): Cause | undefined {
  switch (decision.message) {
    case 'Refused.': return getRefusalCause(decision)
    case 'Caller rejected.': return getRejectionCause(decision)
    case 'Failed.': return undefined
    case 'Sent.': return getSendCause(seenServers, decision)
  }
}

function getRefusalCause ({ reason, underWay, limit }: Decision): Cause {
  if (reason === 'noTime') return 'refused: no time left'
  if (reason === 'noServer') return 'refused: no server'
  if (reason === 'limited') return 'refused: limits of servers'
  if (reason === 'paused') return 'refused: servers pause'
  if (reason === 'endsServers') return 'refused: ended servers'
  if (reason === 'overRate') return 'refused: over the rate of its team'
  if (reason === 'noPermits') return 'refused: no permits'
  return underWay >= limit * boundFraction ? 'refused: bound of the VM' : 'refused: queues at servers'
}

function getRejectionCause ({ reason }: Decision): Cause {
  if (reason === 'noCommonRegion') return 'rejected: no region'
  return reason === 'unconfirmedState' ? 'rejected: state not confirmed' : 'rejected: unknown key'
}

function getSendCause (seenServers: SeenServers, decision: Decision): Cause {
  const { outcome, tookMs, expectedMs, pausedNowMs } = decision
  const cold = getColdCause(seenServers, decision)
  switch (outcome) {
    case 'full': return pausedNowMs > 0 ? 'turned away for a time' : 'shed by its server'
    case 'withdrawn': return 'server closed before the send'
    case 'gone': return 'caller gone'
    case 'deadline':
    case 'slow': return cold === undefined ? 'timeout' : 'timeout under cold work'
    case 'failed':
    case 'spoiled':
    case 'unreached':
    case 'elsewhere': return 'lost with its server'
    default: return cold ?? (tookMs > expectedMs * slowRatio ? 'slower than expected' : 'as expected')
  }
}

/** Returns why the object was cold at the server; undefined if the server handled it before, or there is no object. */
function getColdCause (seenServers: SeenServers, { route, object, server, place }: Decision): Cause | undefined {
  if (object === '') return undefined
  const key = `${route} ${object}`
  const known = seenServers.get(key)
  if (known === undefined) {
    seenServers.set(key, new Set([server]))
    return 'cold: first touch'
  }
  if (known.has(server)) return undefined
  known.add(server)
  return place === 'primary' ? 'cold: placed anew' : 'cold: beside its server'
}
