/**
 * Reads the bodies of callers' requests while the requests wait to be started.
 *
 * If a body is not consumed, Node stops reading from its connection, and the VM does not notice that the caller closes
 * the connection. The symptom is requests that wait, and are sent to servers, for callers that have disconnected.
 */
import type { IncomingMessage } from 'node:http'
import type { Millis } from '@lynxcourse/base'
import { getCurrentTime } from '../../utils/clock.js'
import { recordBufferUse } from '../../utils/bufferMemory.js'
import { collectBytes, createByteCollector, takeBytes, takeParts } from '../../utils/byteCollector.js'
import type { ByteCollector } from '../../utils/byteCollector.js'
import { releaseBody, tryHoldPart } from './bodyMemory.js'
import type { HeldBody } from './bodyMemory.js'
import type { Gateway } from './gateway.js'

/** How reading a body ended. */
export type BodyResult =
  | { readonly type: 'whole', readonly body: Buffer, readonly at: Millis }
  | { readonly type: 'tooMany' | 'tooLarge' | 'gone' }
  | { readonly type: 'failed', readonly err: unknown }

export interface CallBody {
  readonly end: Promise<BodyResult>
  /** Confirms that the current limits apply; until then, reading of a body over the limit is suspended. */
  readonly confirmLimits: () => void
  /** Releases the memory of the body; later chunks are discarded. */
  readonly release: () => void
}

interface BodyReader {
  readonly gateway: Gateway
  readonly req: IncomingMessage
  readonly limitsConfirmed: Promise<void>
  readonly collector: ByteCollector
  readonly held: HeldBody
  isReleased: boolean
}

/**
 * Starts to read a body. The caller of this function calls `confirmLimits` once the limits are known, and `release` at
 * the end.
 */
export function startReadingBody (gateway: Gateway, req: IncomingMessage): CallBody {
  let confirmLimits = (): void => undefined
  const limitsConfirmed = new Promise<void>(resolve => { confirmLimits = resolve })
  const reader: BodyReader = { gateway, req, limitsConfirmed, collector: createByteCollector(), held: { bytes: 0 }, isReleased: false }
  const release = (): void => {
    reader.isReleased = true
    releaseBody(gateway.bodies, reader.held)
    takeParts(reader.collector)
  }
  return { end: readToEnd(reader), confirmLimits, release }
}

async function readToEnd (reader: BodyReader): Promise<BodyResult> {
  const { req } = reader
  const { 'content-length': length, 'transfer-encoding': encoding } = req.headers
  if (length === undefined && encoding === undefined) return { type: 'whole', body: Buffer.alloc(0), at: getCurrentTime() }
  try {
    const result = await readChunks(reader)
    // The rest of the body is discarded: if it were not consumed, reading from the connection would stop too.
    if (result.type !== 'whole') req.resume()
    return result
  } catch (err) {
    return req.destroyed ? { type: 'gone' } : { type: 'failed', err }
  }
}

async function readChunks (reader: BodyReader): Promise<BodyResult> {
  const { gateway, req, collector } = reader
  // Destroying the request on an early return would destroy its connection, and the answer with it.
  for await (const chunk of req.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
    if (exceedsLimit(reader, chunk)) await reader.limitsConfirmed
    if (exceedsLimit(reader, chunk)) return { type: 'tooLarge' }
    if (reader.isReleased) return { type: 'gone' }
    if (!tryHoldPart(gateway.bodies, reader.held, chunk.length)) return { type: 'tooMany' }
    recordBufferUse(gateway.node.bufferMemory, chunk.length)
    collectBytes(collector, chunk)
  }
  return { type: 'whole', body: takeBytes(collector), at: getCurrentTime() }
}

function exceedsLimit ({ gateway, held }: BodyReader, chunk: Buffer): boolean {
  return held.bytes + chunk.length > gateway.limits.maxBodyBytes
}
