/**
 * Bodies of callers' requests, read while the requests wait to be taken up.
 *
 * What can go wrong: a body that nobody reads stops the reading of its connection, and the caller's close behind it is not seen. It
 * shows as requests that are held, and begun at servers, for callers that left.
 */
import type { IncomingMessage } from 'node:http'
import type { Millis } from '@lynxcourse/base'
import { getCurrentTime } from '../../utils/clock.js'
import type { Gateway } from './gateway.js'

/** Bodies held at once; beyond it requests with a body are turned away, since memory over the VM's limit ends the process. */
const maxHeldBytes = 67_108_864

/** How the reading of a body ended. */
export type BodyEnd =
  | { readonly type: 'whole', readonly body: Buffer, readonly at: Millis }
  | { readonly type: 'tooMany' | 'tooLarge' | 'gone' }
  | { readonly type: 'failed', readonly err: unknown }

export interface CallBody {
  readonly end: Promise<BodyEnd>
  /** Has a body be judged by the present limits; one over them is not read on before. */
  readonly judge: () => void
  /** Gives its bytes up; what still comes is dropped. */
  readonly release: () => void
}

interface Reading {
  readonly gateway: Gateway
  readonly req: IncomingMessage
  readonly judged: Promise<void>
  heldBytes: number
  isReleased: boolean
}

/** Begins to read a body; call `judge` once the limits are known, and `release` in the end. */
export function startBody (gateway: Gateway, req: IncomingMessage): CallBody {
  let judge = (): void => undefined
  const judged = new Promise<void>(resolve => { judge = resolve })
  const reading: Reading = { gateway, req, judged, heldBytes: 0, isReleased: false }
  const release = (): void => {
    reading.isReleased = true
    gateway.heldBytes -= reading.heldBytes
    reading.heldBytes = 0
  }
  return { end: readToEnd(reading), judge, release }
}

async function readToEnd (reading: Reading): Promise<BodyEnd> {
  const { req } = reading
  const { 'content-length': length, 'transfer-encoding': encoding } = req.headers
  if (length === undefined && encoding === undefined) return { type: 'whole', body: Buffer.alloc(0), at: getCurrentTime() }
  try {
    const end = await readChunks(reading)
    // What is not held is dropped: left unread, it would stop the reading as well.
    if (end.type !== 'whole') req.resume()
    return end
  } catch (err) {
    return req.destroyed ? { type: 'gone' } : { type: 'failed', err }
  }
}

async function readChunks (reading: Reading): Promise<BodyEnd> {
  const { gateway, req } = reading
  const chunks: Buffer[] = []
  // Left undestroyed: a destroyed request takes its connection, and the answer, with it.
  for await (const chunk of req.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
    if (gateway.heldBytes > maxHeldBytes) return { type: 'tooMany' }
    if (isTooLarge(reading, chunk)) await reading.judged
    if (isTooLarge(reading, chunk)) return { type: 'tooLarge' }
    if (reading.isReleased) return { type: 'gone' }
    hold(reading, chunk)
    chunks.push(chunk)
  }
  return { type: 'whole', body: Buffer.concat(chunks), at: getCurrentTime() }
}

function isTooLarge ({ gateway, heldBytes }: Reading, chunk: Buffer): boolean {
  return heldBytes + chunk.length > gateway.limits.maxBodyBytes
}

function hold (reading: Reading, chunk: Buffer): void {
  reading.heldBytes += chunk.length
  reading.gateway.heldBytes += chunk.length
}
