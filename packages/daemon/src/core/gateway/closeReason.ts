/** Why callers' connections are closed, by the names that logs and metrics use. */

/**
 * Why a caller's connection was closed. By this VM at a stop: `idle`. By this VM after an announced close: `announced`,
 * `announcedUnread` if a body was not read to its end, or `announcedLater` if requests arrived after the announcement. By this VM
 * otherwise: `reset` of a broken answer, `failed` on an error, `invalid` after bytes that are no request, `timeout` of Node's server or the end of the process. `caller` if the
 * caller closed it.
 */
export type CloseReason = 'idle' | 'announced' | 'announcedUnread' | 'announcedLater' | 'reset' | 'failed' | 'invalid' | 'timeout' | 'caller'
