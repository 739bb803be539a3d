/** What an answer of a backend server says about the rate of requests that the server takes. */

/** The limit that an answer names. */
export type NamedLimit =
  /** The answer names no limit. */
  | { readonly type: 'none' }
  /** The server takes this many requests per second from all VMs together. */
  | { readonly type: 'limited', readonly perSecond: number }
  /** The answer names a limit that is not a decimal number of at least 0. */
  | { readonly type: 'unreadable', readonly text: string }

const decimalNumber = /^\+?(\d+(\.\d*)?|\.\d+)$/
const maxLoggedLength = 40

/**
 * Parses the header in which a server names its limit. If the header is repeated, the lowest limit counts.
 *
 * @param value undefined if the answer has no such header
 */
export function parseNamedLimit (value: string | readonly string[] | undefined): NamedLimit {
  if (value === undefined) return { type: 'none' }
  const text = typeof value === 'string' ? value : value.join()
  const parts = text.split(',').map(part => part.trim())
  if (!parts.every(part => decimalNumber.test(part))) return { type: 'unreadable', text: text.slice(0, maxLoggedLength) }
  return { type: 'limited', perSecond: Math.min(Number.MAX_SAFE_INTEGER, ...parts.map(Number)) }
}
