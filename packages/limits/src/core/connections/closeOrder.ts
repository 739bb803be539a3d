/** Decides which connections are closed first when a limit is reached. */
import type { Millis } from '@lynxcourse/base'

/** What is known of a connection when another one has to be accepted, or memory is short. */
export interface ConnectionUse {
  /** Whether a whole head of a request was read from it. */
  readonly hadRequest: boolean
  /** Requests that are not answered yet. */
  readonly openRequests: number
  /** Whether the body of a request is still being read. */
  readonly isReceiving: boolean
  /** Bytes of answers that the client has not read. */
  readonly unsentBytes: number
  /** When the client last sent a request or read a part of an answer; the accept time before that. */
  readonly progressAt: Millis
}

/** Time without progress after which a client that has answers to read counts as not reading. */
const notReadingMs: Millis = 1000

/** Kinds of connections, in the order in which they are closed. */
const closeRanks = { unused: 0, notReading: 1, idle: 2, receiving: 3, atWork: 4 } as const

function getCloseRank ({ hadRequest, openRequests, isReceiving, unsentBytes, progressAt }: ConnectionUse, now: Millis): number {
  if (!hadRequest) return closeRanks.unused
  if (unsentBytes > 0 && now - progressAt > notReadingMs) return closeRanks.notReading
  if (openRequests === 0 && unsentBytes === 0) return closeRanks.idle
  return isReceiving ? closeRanks.receiving : closeRanks.atWork
}

/**
 * Lists the connections that may be closed to make room for another one: first those without a request, then those whose client does
 * not read, idle ones, and those that are sending a body. Within a kind, those without progress for longest come first. Other
 * connections are at work and not listed.
 */
export function listClosable<Use extends ConnectionUse> (uses: Iterable<Use>, now: Millis): Use[] {
  return [...uses]
    .map(use => ({ use, rank: getCloseRank(use, now) }))
    .filter(({ rank }) => rank < closeRanks.atWork)
    .sort((a, b) => a.rank - b.rank || a.use.progressAt - b.use.progressAt)
    .map(({ use }) => use)
}

/** Lists the connections whose clients have answers to read, those that have read nothing for longest first. */
export function listSlowReaders<Use extends ConnectionUse> (uses: Iterable<Use>): Use[] {
  return [...uses].filter(({ unsentBytes }) => unsentBytes > 0).sort((a, b) => a.progressAt - b.progressAt || b.unsentBytes - a.unsentBytes)
}
