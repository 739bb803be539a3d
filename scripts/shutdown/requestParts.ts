/** Requests as bytes. */
import type { Random } from '@lynxcourse/base'
import type { RequestPart } from './callerConnection.js'
import { createText } from './texts.js'

/** What a request says. */
export interface RequestContent {
  readonly id: string
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly limitMs: number
  /** Further headers by name. */
  readonly headers: Readonly<Record<string, string>>
  /** Whether the caller announces that it sends no further requests on the connection. */
  readonly closes: boolean
}

const bodyBytes = 300
const slowPieces = { min: 3, max: 6 }
/** Share of the time limit in which a slow body is sent. */
const slowShare = { min: 0.1, max: 0.4 }

/** Creates the text that a caller sends as a request's body. */
export function createRequestText (id: string, bytes = bodyBytes): string {
  return createText('caller', id, bytes)
}

/** Creates a request that is sent at once; only `POST` has a body. */
export function createPromptRequest (content: RequestContent): RequestPart[] {
  const body = content.method === 'POST' ? createRequestText(content.id) : ''
  const framing: Array<[string, string]> = content.method === 'POST' ? [['content-length', String(body.length)]] : []
  return [{ bytes: Buffer.from(createHead(content, framing) + body, 'latin1'), pauseMs: 0 }]
}

/** Creates a request whose body is sent in pieces with pauses, either in chunks or with a length. */
export function createSlowRequest (content: RequestContent, random: Random): RequestPart[] {
  const body = createRequestText(content.id, bodyBytes * 10)
  const isChunked = random() < 0.5
  const head = createHead(content, [isChunked ? ['transfer-encoding', 'chunked'] : ['content-length', String(body.length)]])
  const parts: RequestPart[] = [{ bytes: Buffer.from(head, 'latin1'), pauseMs: 0 }]
  const pieces = splitText(body, Math.floor(drawBetween(slowPieces, random)))
  const texts = isChunked ? [...pieces.map(createChunk), '0\r\n\r\n'] : pieces
  const pauseMs = content.limitMs * drawBetween(slowShare, random) / texts.length
  for (const text of texts) parts.push({ bytes: Buffer.from(text, 'latin1'), pauseMs })
  return parts
}

function createHead ({ id, method, path, limitMs, headers, closes }: RequestContent, framing: ReadonlyArray<[string, string]>): string {
  const lines = [`${method} ${path} HTTP/1.1`]
  const all = Object.entries({ host: 'shutdown.example', 'idempotency-key': id, 'lynx-deadline-ms': String(limitMs), ...headers })
  if (closes) all.push(['connection', 'close'])
  for (const [name, value] of [...all, ...framing]) lines.push(`${name}: ${value}`)
  return `${lines.join('\r\n')}\r\n\r\n`
}

function createChunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

function splitText (text: string, pieces: number): string[] {
  const length = Math.ceil(text.length / pieces)
  return Array.from({ length: pieces }, (_, index) => text.slice(index * length, (index + 1) * length))
}

function drawBetween ({ min, max }: { readonly min: number, readonly max: number }, random: Random): number {
  return min + random() * (max - min)
}
