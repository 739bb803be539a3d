/** Compresses the state for snapshots, which are kept in memory, stored on disk and sent to other control VMs. */
import { gunzipSync } from 'node:zlib'
import { LynxError } from '@lynxcourse/base'
import { compressText } from '../rpc/compression.js'

/** Maximum length of the uncompressed state in bytes; a longer one does not fit into the memory of a control VM. */
const maxStateBytes = 134_217_728
/** First characters of base64 text of gzip data. Snapshots of earlier versions hold JSON text instead. */
const gzipPrefix = 'H4sI'

/** Compresses the serialized state; the result is base64 text. */
export function packState (text: string): string {
  return compressText(text).toString('base64')
}

/**
 * Restores the serialized state from the data of a snapshot.
 *
 * @throws LynxError `corruptLog` if the data can't be decompressed
 */
export function unpackState (data: string): string {
  if (!data.startsWith(gzipPrefix)) return data
  try {
    return gunzipSync(Buffer.from(data, 'base64'), { maxOutputLength: maxStateBytes }).toString('utf8')
  } catch (err) {
    throw new LynxError('corruptLog', 'the state of the snapshot can\'t be decompressed', { step: 'read snapshot', cause: err })
  }
}
