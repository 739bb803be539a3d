/** Hop-by-hop headers, which are not forwarded, and the headers in which servers speak of themselves. */
import type { IncomingHttpHeaders } from 'node:http'
import { parseStatements } from '@lynxcourse/limits'
import type { ServerStatements } from '@lynxcourse/limits'
import { leavingHeader, serverLimitHeader } from '../types/answers.js'
import type { HeaderMap } from '../types/answers.js'

const hopByHopHeaders = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'transfer-encoding', 'te', 'trailer',
  'upgrade', 'content-length', 'expect'
])

/** Returns whether a header applies to a single connection. `content-length` counts as such: it is set again with the body. */
export function isHopByHop (name: string): boolean {
  return hopByHopHeaders.has(name)
}

/** Returns the headers of a backend server's response without the hop-by-hop headers. */
export function removeHopByHopHeaders (raw: IncomingHttpHeaders): HeaderMap {
  const headers: HeaderMap = {}
  for (const [name, value] of Object.entries(raw)) {
    if (value !== undefined && !isHopByHop(name)) headers[name] = value
  }
  return headers
}

/** Parses what the answer of a backend server says about the server, in this system's own headers. */
export function parseServerStatements (status: number, headers: IncomingHttpHeaders): ServerStatements {
  return parseStatements(status, { limit: headers[serverLimitHeader], leaving: headers[leavingHeader], retryAfter: headers['retry-after'], date: headers.date })
}
