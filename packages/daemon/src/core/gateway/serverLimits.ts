/** Observes the limits that backend servers name in their answers. */
import type { Millis } from '@lynxcourse/base'
import { recordNamedLimit } from '@lynxcourse/limits'
import type { NamedLimit } from '@lynxcourse/limits'
import type { FleetServer } from '@lynxcourse/placement'
import { log } from '../../utils/logging.js'
import type { Call } from './call.js'
import type { Gateway } from './gateway.js'

/** Records the limit that an answer names, and logs a change of it. */
export function observeLimit ({ node: { logs } }: Gateway, { facts: { id } }: Call, { facts, limit }: FleetServer, named: NamedLimit, now: Millis): void {
  if (named.type === 'unreadable') log(logs, 'limit', 'warn', 'Limit of a server is unreadable.', { server: facts.id, id, text: named.text, inForce: limit.perSecond })
  const change = recordNamedLimit(limit, named, now)
  if (change?.type === 'named') log(logs, 'limit', 'info', 'Server named a limit.', { server: facts.id, id, perSecond: change.perSecond, previous: change.previous })
  if (change?.type === 'ended') log(logs, 'limit', 'info', 'Limit of a server ended.', { server: facts.id, id, previous: change.previous })
}
