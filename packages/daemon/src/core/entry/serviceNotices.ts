/** Observes what backend servers of services say about themselves in their answers. */
import type { IncomingHttpHeaders } from 'node:http'
import { recordStatements } from '@lynxcourse/limits'
import type { ObservedServer } from '@lynxcourse/routing'
import { getCurrentTime } from '../../utils/clock.js'
import { parseServerStatements } from '../../utils/headers.js'
import { reportNoticeChanges } from '../../utils/noticeLog.js'
import type { EntryState } from './entry.js'
import type { ServiceRequest } from './serviceRequest.js'

/** Records what an answer says about its server. */
export function observeStatements ({ node }: EntryState, { id }: ServiceRequest, { backend, notice }: ObservedServer, status: number, headers: IncomingHttpHeaders): void {
  const changes = recordStatements(notice, parseServerStatements(status, headers), getCurrentTime())
  reportNoticeChanges(node, backend.id, notice, changes, id)
}
