/** Results of calls with a part that many callers get, which is encoded and compressed once. */
import { compressText, decompressText, minCompressedBytes, shouldCompress, supportedEncoding } from './compression.js'

/** JSON text that several results contain. A long one is kept in compressed form only. */
export type SharedJson =
  | { readonly text: string, readonly packed: undefined }
  | { readonly length: number, readonly packed: Buffer }

export function createSharedJson (value: object): SharedJson {
  const text = JSON.stringify(value)
  return text.length < minCompressedBytes ? { text, packed: undefined } : { length: text.length, packed: compressText(text) }
}

/** A result with one field whose value is shared. */
export class SharedResult {
  /**
   * @param fields the other fields, of which there is at least one
   * @param name name of the shared field
   */
  constructor (readonly fields: object, readonly name: string, readonly shared: SharedJson) {}
}

/** The parts of a message. */
export interface MessageParts {
  readonly parts: readonly Buffer[]
  /** Whether the parts are gzip members, which are decompressed as one. */
  readonly isPacked: boolean
  /** Number of bytes that no other message shares. */
  readonly ownBytes: number
}

/** Encodes a text as a message of one part, compressed if it is long and its recipient reads compressed messages. */
export function encodeText (text: string, acceptedEncodings: string | undefined): MessageParts {
  const isPacked = shouldCompress(acceptedEncodings, text.length)
  const part = isPacked ? compressText(text) : Buffer.from(text)
  return { parts: [part], isPacked, ownBytes: part.length }
}

/** Encodes a JSON-RPC response with a shared result. */
export function encodeSharedResult (id: unknown, { fields, name, shared }: SharedResult, acceptedEncodings: string | undefined): MessageParts {
  const head = `{"jsonrpc":"2.0","id":${JSON.stringify(id)},"result":{${JSON.stringify(name)}:`
  const tail = `,${JSON.stringify(fields).slice(1)}}`
  if (shared.packed === undefined) return encodeText(head + shared.text + tail, acceptedEncodings)
  if (!shouldCompress(acceptedEncodings, shared.length)) {
    return encodeText(head + decompressText(shared.packed, supportedEncoding, shared.length) + tail, undefined)
  }
  const [packedHead, packedTail] = [compressText(head), compressText(tail)]
  return { parts: [packedHead, shared.packed, packedTail], isPacked: true, ownBytes: packedHead.length + packedTail.length }
}
