/** Counts sends by the software version of their servers. */
import { percentile } from '../support/tables.js'
import type { Decision } from './readDecision.js'

/** Sends to servers of one version. */
export interface VersionSends {
  readonly service: string
  readonly version: string
  readonly sends: number
  /** Server errors, and sends without a usable answer. */
  readonly failed: number
  readonly medianMs: number
}

const serverError = /^5\d\d$/
/** Outcomes of sends that got no usable answer although the request may have run. */
const lostOutcomes = new Set(['failed', 'spoiled', 'deadline', 'slow', 'stranded'])

/** Returns the sends of each version; empty if the log lines name no versions. */
export function countByVersion (decisions: readonly Decision[]): VersionSends[] {
  const sends = decisions.filter(({ message, version }) => message === 'Sent.' && version !== '')
  const groups = new Map<string, Decision[]>()
  for (const send of sends) {
    const key = `${send.service} ${send.version}`
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [send])
    else group.push(send)
  }
  return [...groups].sort(([a], [b]) => a < b ? -1 : 1).map(([, group]) => ({
    service: group[0]?.service ?? '',
    version: group[0]?.version ?? '',
    sends: group.length,
    failed: group.filter(({ outcome }) => serverError.test(outcome) || lostOutcomes.has(outcome)).length,
    medianMs: Math.round(percentile(group.map(({ tookMs }) => tookMs), 0.5))
  }))
}
