/**
 * The headers by which the gateway exchanges information with callers and backend servers. The gateway reads and writes
 * such headers through a dialect only, so another platform's headers need no more than another dialect.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { Millis, ServerId, TeamName } from '@lynxcourse/base'
import type { ServerStatements } from '@lynxcourse/limits'
import { maxKeyLength } from '@lynxcourse/state'
import { getCallerIdentity } from '../crashes/requestFingerprint.js'
import { deadlineHeader, loadHeader, notStartedHeader, requestIdHeader, teamHeader } from '../../types/answers.js'
import type { HeaderMap } from '../../types/answers.js'
import { parseServerStatements } from '../../utils/headers.js'

/** Information from the headers of a caller's request. */
export interface CallFacts {
  /** The caller's id of this attempt; empty if the caller sent none. */
  readonly id: string
  /** Time that the caller will still wait; undefined if the caller sent none. */
  readonly remainingMs: Millis | undefined
  /** The object that the request concerns; empty if the caller sent none. */
  readonly object: string
}

/** Longest credentials that are parsed: longer ones can't hold a valid key. */
const maxCredentialsLength = maxKeyLength + 100

/** Headers between callers and this system. */
export abstract class CallerDialect {
  abstract parseCallFacts (headers: IncomingHttpHeaders): CallFacts

  /** Returns the credentials by which a caller identifies itself; empty if there are none. */
  parseIdentity (headers: IncomingHttpHeaders): string {
    return getCallerIdentity(headers)
  }

  /** Name of the authentication scheme of teams' keys. */
  abstract readonly keyScheme: string

  /**
   * Returns the key that a request carries; undefined if it carries none, a malformed one or several.
   *
   * @param headers all values of each header, in the order of their arrival
   */
  parseKey (headers: NodeJS.Dict<string[]>): string | undefined {
    const [credentials, ...others] = headers.authorization ?? []
    if (credentials === undefined || others.length > 0 || credentials.length > maxCredentialsLength) return undefined
    const [scheme, key, ...rest] = credentials.split(/ +/)
    if (key === undefined || rest.length > 0 || scheme?.toLowerCase() !== this.keyScheme.toLowerCase()) return undefined
    return key
  }

  /** Names of headers that only this system sets; they are removed from callers' requests. */
  abstract readonly reservedHeaders: ReadonlySet<string>

  /** Returns the headers of a refusal, with the time after which the caller may retry. */
  buildRefusalHeaders (retryAfterMs: Millis): HeaderMap {
    return { 'retry-after': (retryAfterMs / 1000).toFixed(3) }
  }
}

/**
 * Class of a server's answer: `answered` for a valid answer, `notRun` if the server did not start the request,
 * `elsewhere` if another server answered, `spoiled` for an answer that belongs to another request or is not the
 * server's own.
 */
export type AnswerKind = 'answered' | 'notRun' | 'elsewhere' | 'spoiled'

/** Whose request id an answer bears. */
export type EchoedId = 'own' | 'other' | 'none'

/** Headers between this system and backend servers. */
export abstract class ServerDialect {
  /** Returns whether an answer bears the id of a request, another id or none. */
  abstract parseEchoedId (call: CallFacts, headers: HeaderMap): EchoedId

  /**
   * Returns the headers to add to a request for a server.
   *
   * @param team the caller's team; undefined if the caller has none
   */
  abstract buildRequestHeaders (call: CallFacts, server: ServerId, remainingMs: Millis, team?: TeamName): HeaderMap

  /** Returns the number of requests running and waiting at the server; undefined if the server did not report it. */
  abstract parseQueueDepth (headers: HeaderMap): number | undefined

  /** Returns what an answer says about its server, apart from its load. */
  abstract parseStatements (status: number, headers: HeaderMap): ServerStatements

  /**
   * Checks by an answer's head whether it belongs to the request, and whether the request ran.
   *
   * @param isFirst whether the answer is the first on its connection, so that it can't be a late one to an earlier request
   */
  abstract classifyAnswer (call: CallFacts, status: number, headers: HeaderMap, isFirst?: boolean): AnswerKind
}

const statusMisdirected = 421

/** The default headers on the callers' side. */
export class DefaultCallerDialect extends CallerDialect {
  override readonly keyScheme = 'Bearer'
  override readonly reservedHeaders = new Set([deadlineHeader, 'lynx-expect-server', teamHeader])

  override parseCallFacts (headers: IncomingHttpHeaders): CallFacts {
    const remainingMs = Number(headers[deadlineHeader])
    return {
      id: String(headers[requestIdHeader] ?? ''),
      remainingMs: Number.isFinite(remainingMs) && remainingMs > 0 ? remainingMs : undefined,
      object: String(headers['lynx-object'] ?? '')
    }
  }
}

/** The default headers on the servers' side. */
export class DefaultServerDialect extends ServerDialect {
  override buildRequestHeaders (_call: CallFacts, server: ServerId, remainingMs: Millis, team?: TeamName): HeaderMap {
    const headers: HeaderMap = { [deadlineHeader]: String(remainingMs), 'lynx-expect-server': server }
    if (team !== undefined) headers[teamHeader] = team
    return headers
  }

  override parseQueueDepth (headers: HeaderMap): number | undefined {
    const queueDepth = Number(headers[loadHeader])
    return headers[loadHeader] !== undefined && Number.isFinite(queueDepth) && queueDepth >= 0 ? queueDepth : undefined
  }

  override parseStatements (status: number, headers: HeaderMap): ServerStatements {
    return parseServerStatements(status, headers)
  }

  override parseEchoedId (call: CallFacts, headers: HeaderMap): EchoedId {
    return compareEchoedId(call, headers[requestIdHeader])
  }

  override classifyAnswer (call: CallFacts, status: number, headers: HeaderMap): AnswerKind {
    // A server may send an answer twice or late; the next request on the connection then receives it.
    if (this.parseEchoedId(call, headers) === 'other') return 'spoiled'
    if (status === statusMisdirected) return 'elsewhere'
    return headers[notStartedHeader] === undefined ? 'answered' : 'notRun'
  }
}

/** Compares the id that an answer bears with that of a request. Several ids count as another one. */
export function compareEchoedId (call: CallFacts, echoed: string | string[] | undefined): EchoedId {
  if (echoed === undefined) return 'none'
  return echoed === call.id ? 'own' : 'other'
}
