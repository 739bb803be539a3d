/** Observes the limits that backend servers of services name in their answers. */
import type { IncomingHttpHeaders } from 'node:http'
import { parseNamedLimit, recordNamedLimit } from '@lynxcourse/limits'
import type { ObservedServer } from '@lynxcourse/routing'
import { serverLimitHeader } from '../../types/answers.js'
import { getCurrentTime } from '../../utils/clock.js'
import { logLimitChange, logUnreadableLimit } from '../../utils/limitLog.js'
import type { EntryState } from './entry.js'
import type { ServiceRequest } from './serviceRequest.js'

/** Records the limit that an answer names. */
export function observeLimit ({ node: { logs } }: EntryState, { id }: ServiceRequest, { backend, limit }: ObservedServer, headers: IncomingHttpHeaders): void {
  const named = parseNamedLimit(headers[serverLimitHeader])
  if (named.type === 'unreadable') logUnreadableLimit(logs, backend.id, named.text, limit, { id })
  const change = recordNamedLimit(limit, named, getCurrentTime())
  if (change !== undefined) logLimitChange(logs, backend.id, change, { id })
}
