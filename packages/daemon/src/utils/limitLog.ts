/** Log lines on the limits that backend servers name. */
import type { ServerId } from '@lynxcourse/base'
import type { LimitChange, ServerLimit } from '@lynxcourse/limits'
import { log } from './logging.js'
import type { LogFields, Logs } from './logging.js'

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

/** Logs a limit that is not a number; the known limit stays in force. */
export function logUnreadableLimit (logs: Logs, server: ServerId, text: string, { perSecond }: ServerLimit, source: LogFields): void {
  log(logs, 'limit', 'warn', 'Limit of a server is unreadable.', { server, text, inForce: perSecond, ...source })
}
