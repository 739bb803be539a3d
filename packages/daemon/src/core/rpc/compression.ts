/**
 * Packs large messages between VMs.
 *
 * What can go wrong: all VMs start at one moment and each asks for the whole state. Its bytes fill an entry VM's link and their writing a
 * control VM's processor, calls run into their time-out, the state is sent again, and callers' requests wait in the same link. It
 * shows as VMs that receive several times the state before they are ready.
 */
import { constants, gunzipSync, gzipSync } from 'node:zlib'
import { LynxError } from '@lynxcourse/base'

/** The coding, as HTTP names it. */
export const packedCoding = 'gzip'
/** Shorter messages gain less than their packing costs: they fit into some packets. */
const leastPackedBytes = 4096
/** The fastest level: 0.35 ms for 89 KB (mean of 50); level 6 saves a seventh of the packed bytes for twice the time. */
const packing = { level: constants.Z_BEST_SPEED }

/** Whether a peer that accepts these codings should get a message of so many bytes packed. */
export function isWorthPacking (accepted: string | undefined, bytes: number): boolean {
  return bytes >= leastPackedBytes && accepted?.split(',').some(coding => coding.trim() === packedCoding) === true
}

export function packText (text: string): Buffer {
  return gzipSync(text, packing)
}

/**
 * Unpacks a message.
 *
 * @param coding what its head names; undefined for none
 * @throws LynxError `peerFailed` where it can't be read, or is longer than `maxBytes` unpacked
 */
export function unpackText (body: Buffer, coding: string | undefined, maxBytes: number): string {
  if (coding === undefined) return body.toString('utf8')
  if (coding !== packedCoding) throw new LynxError('peerFailed', `unknown coding ${coding}`, { step: 'unpack' })
  try {
    return gunzipSync(body, { maxOutputLength: maxBytes }).toString('utf8')
  } catch (err) {
    throw new LynxError('peerFailed', 'the answer can\'t be unpacked', { step: 'unpack', cause: err })
  }
}
