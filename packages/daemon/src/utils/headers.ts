/** Hop-by-hop headers, which are not forwarded. */
import type { IncomingHttpHeaders } from 'node:http'
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
