/** Which headers concern one connection only and are not passed on. */
import type { IncomingHttpHeaders } from 'node:http'
import type { HeaderMap } from '../types/answers.js'

const hopByHop = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'transfer-encoding', 'te', 'trailer',
  'upgrade', 'content-length', 'expect'
])

/** Whether a header concerns one connection only; the length of a body is set anew with the body. */
export function isHopByHop (name: string): boolean {
  return hopByHop.has(name)
}

/** A server's headers as its caller gets them. */
export function removeHopByHopHeaders (raw: IncomingHttpHeaders): HeaderMap {
  const headers: HeaderMap = {}
  for (const [name, value] of Object.entries(raw)) {
    if (value !== undefined && !isHopByHop(name)) headers[name] = value
  }
  return headers
}
