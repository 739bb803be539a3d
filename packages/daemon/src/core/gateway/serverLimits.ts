/** Observes the limits of backend servers. */
import type { Millis } from '@lynxcourse/base'
import type { NamedLimit } from '@lynxcourse/limits'
import { recordAnswerLimit } from '@lynxcourse/placement'
import type { FleetServer, PublishedLimitChange } from '@lynxcourse/placement'
import { logLimitChange, logUnreadableLimit } from '../../utils/limitLog.js'
import type { Call } from './call.js'
import type { Gateway } from './gateway.js'

/** Records the limit that an answer names. */
export function observeLimit (gateway: Gateway, { facts: { id } }: Call, server: FleetServer, named: NamedLimit, now: Millis): void {
  const { logs } = gateway.node
  if (named.type === 'unreadable') logUnreadableLimit(logs, server.facts.id, named.text, server.limit, { id })
  const change = recordAnswerLimit(gateway, server, named, now)
  if (change !== undefined) logLimitChange(logs, server.facts.id, change, { id })
}

/** Logs the limits that changed by the leader's word. */
export function logPublishedLimits ({ node: { logs } }: Gateway, changes: readonly PublishedLimitChange[]): void {
  for (const { server, change } of changes) logLimitChange(logs, server, change, { source: 'leader' })
}
