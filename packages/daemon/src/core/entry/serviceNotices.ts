/** Observes what backend servers of services say about themselves in their answers. */
import type { IncomingHttpHeaders } from 'node:http'
import { parseStatements, recordStatements } from '@lynxcourse/limits'
import type { ObservedServer } from '@lynxcourse/routing'
import { leavingHeader, serverLimitHeader } from '../../types/answers.js'
import { getCurrentTime } from '../../utils/clock.js'
import { reportNoticeChanges } from '../../utils/noticeLog.js'
import type { EntryState } from './entry.js'
import type { ServiceRequest } from './serviceRequest.js'

/** Records what an answer says about its server. */
export function observeStatements ({ node }: EntryState, { id }: ServiceRequest, { backend, notice }: ObservedServer, status: number, headers: IncomingHttpHeaders): void {
  const statements = parseStatements(status, { limit: headers[serverLimitHeader], leaving: headers[leavingHeader], retryAfter: headers['retry-after'], date: headers.date })
  reportNoticeChanges(node, backend.id, notice, recordStatements(notice, statements, getCurrentTime()), id)
}
