/**
 * How callers and backend servers say what the gateway needs to know. The gateway decides on these
 * terms alone, so that another platform's headers need another dialect and nothing else.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { Millis, ServerId } from '@lynxcourse/base'
import { deadlineHeader, loadHeader, notStartedHeader, requestIdHeader } from '../../types/answers.js'
import type { HeaderMap } from '../../types/answers.js'

/** What a caller's request says besides method, path and body. */
export interface CallFacts {
  /** The caller's id of this attempt; empty if it gave none. */
  readonly id: string
  /** How long the caller will wait; undefined if it did not say. */
  readonly remainingMs: Millis | undefined
  /** The object that the request concerns; empty if it did not say. */
  readonly object: string
}

/** What callers and this system say to each other. */
export abstract class CallerDialect {
  abstract parseCallFacts (headers: IncomingHttpHeaders): CallFacts

  /** Names of headers that this system sets itself: those that callers send are not passed on. */
  abstract readonly reservedHeaders: ReadonlySet<string>

  /** Headers of a refusal that tells when to come back. */
  buildRefusalHeaders (retryAfterMs: Millis): HeaderMap {
    return { 'retry-after': (retryAfterMs / 1000).toFixed(3) }
  }
}

/** How sound a server's answer is. */
export type AnswerKind = 'answered' | 'notRun' | 'elsewhere' | 'spoiled'

/** What this system and backend servers say to each other. */
export abstract class ServerDialect {
  /** Headers added for a server. */
  abstract buildRequestHeaders (call: CallFacts, server: ServerId, leftMs: Millis): HeaderMap

  /** Requests running and waiting at the server; undefined if it did not say. */
  abstract parseQueueDepth (headers: HeaderMap): number | undefined

  /** Whether an answer's head belongs to the request, and whether the request ran. */
  abstract classifyAnswer (call: CallFacts, status: number, headers: HeaderMap): AnswerKind
}

const statusMisdirected = 421

/** The product's own caller side. */
export class DefaultCallerDialect extends CallerDialect {
  override readonly reservedHeaders = new Set([deadlineHeader, 'lynx-expect-server'])

  override parseCallFacts (headers: IncomingHttpHeaders): CallFacts {
    const remaining = Number(headers[deadlineHeader])
    return {
      id: String(headers[requestIdHeader] ?? ''),
      remainingMs: Number.isFinite(remaining) && remaining > 0 ? remaining : undefined,
      object: String(headers['lynx-object'] ?? '')
    }
  }
}

/** The product's own server side. */
export class DefaultServerDialect extends ServerDialect {
  override buildRequestHeaders (_call: CallFacts, server: ServerId, leftMs: Millis): HeaderMap {
    return { [deadlineHeader]: String(leftMs), 'lynx-expect-server': server }
  }

  override parseQueueDepth (headers: HeaderMap): number | undefined {
    const load = Number(headers[loadHeader])
    return headers[loadHeader] !== undefined && Number.isFinite(load) && load >= 0 ? load : undefined
  }

  override classifyAnswer (call: CallFacts, status: number, headers: HeaderMap): AnswerKind {
    const echoed = headers[requestIdHeader]
    // A server may send an answer twice or late, so that it stands where the next request's answer is due.
    if (echoed !== undefined && echoed !== call.id) return 'spoiled'
    if (status === statusMisdirected) return 'elsewhere'
    return headers[notStartedHeader] === undefined ? 'answered' : 'notRun'
  }
}
