/**
 * Compresses large messages between VMs.
 *
 * When all VMs start at the same time, each of them requests the whole state. Without compression, the transfers
 * saturate the links of entry VMs and the processors of control VMs, calls time out, the state is sent again, and
 * requests of callers wait behind it in the same links. The symptom is VMs that receive the state several times before
 * they are ready.
 */
import { constants, gunzipSync, gzipSync } from 'node:zlib'
import { LynxError } from '@lynxcourse/base'

/** The supported content coding, under its HTTP name. */
export const supportedEncoding = 'gzip'
/** Shorter messages fit into a few packets, so compressing them costs more than it saves. */
export const minCompressedBytes = 4096
/** The fastest level takes 0.35 ms for 89 KB; level 6 takes twice the time for output that is a seventh smaller. */
const gzipOptions = { level: constants.Z_BEST_SPEED }

/** Whether a message of this size should be compressed for a peer that accepts these content codings. */
export function shouldCompress (acceptedEncodings: string | undefined, bytes: number): boolean {
  return bytes >= minCompressedBytes && acceptedEncodings?.split(',').some(encoding => encoding.trim() === supportedEncoding) === true
}

export function compressText (text: string): Buffer {
  return gzipSync(text, gzipOptions)
}

/** Size of the fields at the end of gzip data; the last one is the length of the uncompressed data. */
const gzipTrailerBytes = 8

/** Returns the length of a body once it is decompressed, as the body itself says. */
export function getUnpackedSize (body: Buffer, encoding: string | undefined): number {
  return encoding === supportedEncoding && body.length >= gzipTrailerBytes ? body.readUInt32LE(body.length - 4) : body.length
}

/**
 * Decompresses the body of a message.
 *
 * @param encoding value of its `content-encoding` header; undefined if the body is not compressed
 * @throws LynxError `peerFailed` if the body can't be decompressed or would be longer than `maxBytes`
 */
export function decompressText (body: Buffer, encoding: string | undefined, maxBytes: number): string {
  if (encoding === undefined) return body.toString('utf8')
  if (encoding !== supportedEncoding) throw new LynxError('peerFailed', `unsupported content encoding '${encoding}'`, { step: 'unpack' })
  try {
    return gunzipSync(body, { maxOutputLength: maxBytes }).toString('utf8')
  } catch (err) {
    throw new LynxError('peerFailed', 'the message can\'t be decompressed', { step: 'unpack', cause: err })
  }
}
