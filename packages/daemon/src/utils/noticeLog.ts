/** Log lines and metrics on what backend servers say about themselves. */
import type { ServerId } from '@lynxcourse/base'
import type { LimitChange, NoticeChange, ServerNotice, UnreadableStatement } from '@lynxcourse/limits'
import { log } from './logging.js'
import type { LogFields, Logs } from './logging.js'
import type { Metrics } from './metrics.js'

/** Where the lines and counts of one VM go. */
export interface NoticeOutput {
  readonly logs: Logs
  readonly metrics: Metrics
}

/** Logs and counts what an answer changed; `id` is that of the request that was answered. */
export function reportNoticeChanges ({ logs, metrics }: NoticeOutput, server: ServerId, notice: ServerNotice, changes: readonly NoticeChange[], id: string | undefined): void {
  for (const change of changes) {
    switch (change.type) {
      case 'limit':
        logLimitChange(logs, server, change.change, { id })
        break
      case 'paused':
        metrics.serverPauses.inc()
        log(logs, 'notice', 'info', 'Server wants no requests for a time.', { server, forMs: Math.round(change.forMs), id })
        break
      case 'leaving':
        metrics.serverDepartures.inc()
        log(logs, 'notice', 'info', 'Server says that it leaves.', { server, id })
        break
      case 'unreadable':
        logUnreadable(logs, server, notice, change, id)
        break
    }
  }
}

/**
 * Logs that a server named another limit, or that its limit ended.
 *
 * @param source request whose answer showed the change, or `leader`
 */
export function logLimitChange (logs: Logs, server: ServerId, change: LimitChange, source: LogFields): void {
  const { previous } = change
  if (change.type === 'named') log(logs, 'limit', 'info', 'Server named a limit.', { server, perSecond: change.perSecond, previous, ...source })
  else log(logs, 'limit', 'info', 'Limit of a server ended.', { server, previous, ...source })
}

/** Logs a statement that could not be read; what was known before stays in force. */
function logUnreadable (logs: Logs, server: ServerId, { limit }: ServerNotice, { about, text }: UnreadableStatement, id: string | undefined): void {
  if (about === 'limit') log(logs, 'limit', 'warn', 'Limit of a server is unreadable.', { server, text, inForce: limit.perSecond, id })
  else log(logs, 'notice', 'warn', 'Statement of a server is unreadable.', { server, about, text, id })
}
