/**
 * The replicated log on disk: one append-only file of records with checksums, and one snapshot file.
 *
 * A power failure during a write leaves an incomplete last record. That record was never synced, so no other VM relies on
 * it, and it is truncated. A bad record with more data after it means that synced data is damaged. The replica must not
 * continue with only part of the entries that it has acknowledged, so opening the log fails. With an emptied folder, the
 * VM can return as a new member.
 */
import { mkdir, open, readFile, rename, rm } from 'node:fs/promises'
import type { FileHandle } from 'node:fs/promises'
import { join } from 'node:path'
import { crc32 } from 'node:zlib'
import { getEntryText } from '@lynxcourse/agreement'
import { LynxError, getErrorMessage, parseJson } from '@lynxcourse/base'
import type { Entry, HardState, ReplicaOutput, Snapshot, StoredLog } from '@lynxcourse/agreement'

const headerBytes = 8
const logFileName = 'log'
const snapshotFileName = 'snapshot'

/** Permissions of the folder: only the owner may read it, since the log holds the keys of teams. */
const privateFolderMode = 0o700

type StoredRecord =
  | { readonly kind: 'hardState', readonly hardState: HardState }
  | { readonly kind: 'entry', readonly entry: Entry }

/** An open log. */
export interface LogStorage extends AsyncDisposable {
  readonly folder: string
  file: FileHandle
  hardState: HardState
  /** Size of the log file. */
  logBytes: number
  /** Number of syncs to disk so far. */
  syncs: number
}

/** Prepends the header: length and CRC-32 of the payload. */
function frame (payload: Buffer): Buffer {
  const header = Buffer.alloc(headerBytes)
  header.writeUInt32LE(payload.length, 0)
  header.writeUInt32LE(crc32(payload), 4)
  return Buffer.concat([header, payload])
}

function encode (record: StoredRecord): Buffer {
  return frame(Buffer.from(record.kind === 'entry' ? `{"kind":"entry","entry":${getEntryText(record.entry)}}` : JSON.stringify(record)))
}

/** Records of a log file, and the length of the file up to the end of the last valid record. */
export interface ParsedLog {
  readonly records: readonly StoredRecord[]
  readonly validBytes: number
}

/**
 * Parses a log file's bytes.
 *
 * @throws LynxError `corruptLog` if more data follows a bad record
 */
export function parseLog (bytes: Buffer): ParsedLog {
  const records: StoredRecord[] = []
  let offset = 0
  while (offset + headerBytes <= bytes.length) {
    const length = bytes.readUInt32LE(offset)
    const end = offset + headerBytes + length
    if (end > bytes.length) break
    const payload = bytes.subarray(offset + headerBytes, end)
    const record = crc32(payload) === bytes.readUInt32LE(offset + 4) ? decode(payload) : undefined
    if (record === undefined) {
      if (end < bytes.length) throw new LynxError('corruptLog', `bad record at byte ${offset} of ${bytes.length}`, { step: 'read log' })
      break
    }
    records.push(record)
    offset = end
  }
  return { records, validBytes: offset }
}

function decode (payload: Buffer): StoredRecord | undefined {
  try {
    const record = parseJson(payload.toString('utf8')) as StoredRecord
    return record.kind === 'entry' || record.kind === 'hardState' ? record : undefined
  } catch {
    return undefined
  }
}

/**
 * Opens the log in a folder and truncates an incomplete last record.
 *
 * @returns the open log, and its contents; undefined contents on an empty disk
 * @throws LynxError `corruptLog` if stored data is damaged, `diskFailed` if the file system fails
 */
export async function openStorage (folder: string): Promise<{ storage: LogStorage, stored: StoredLog | undefined }> {
  try {
    await mkdir(folder, { recursive: true, mode: privateFolderMode })
    const snapshot = await readSnapshot(folder)
    const path = join(folder, logFileName)
    const parsed = parseLog(await readFileIfExists(path) ?? Buffer.alloc(0))
    const file = await open(path, 'a+')
    await file.truncate(parsed.validBytes)
    const restored = snapshot === undefined ? undefined : replay(snapshot, parsed.records)
    const hardState = restored?.stored.hardState ?? { term: 0, votedFor: undefined }
    const storage: LogStorage = { folder, file, hardState, logBytes: parsed.validBytes, syncs: 0, [Symbol.asyncDispose]: async () => await storage.file.close() }
    // Otherwise later entries would follow the ones that don't count, and be left out at the next start.
    if (restored?.hasForeignEntries === true) await rewriteLog(storage, [])
    return { storage, stored: restored?.stored }
  } catch (err) {
    if (err instanceof LynxError) throw err
    throw new LynxError('diskFailed', getErrorMessage(err), { step: 'open log', cause: err })
  }
}

async function readSnapshot (folder: string): Promise<Snapshot | undefined> {
  const bytes = await readFileIfExists(join(folder, snapshotFileName))
  return bytes === undefined ? undefined : parseSnapshot(bytes)
}

async function readFileIfExists (path: string): Promise<Buffer | undefined> {
  try {
    return await readFile(path)
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code === 'ENOENT') return undefined
    throw err
  }
}

/**
 * Parses a snapshot file's bytes.
 *
 * @throws LynxError `corruptLog` if the length or the checksum is wrong
 */
export function parseSnapshot (bytes: Buffer): Snapshot {
  const isComplete = bytes.length >= headerBytes && bytes.readUInt32LE(0) === bytes.length - headerBytes
  const payload = bytes.subarray(headerBytes)
  if (!isComplete || crc32(payload) !== bytes.readUInt32LE(4)) {
    throw new LynxError('corruptLog', 'snapshot file is incomplete or damaged', { step: 'read snapshot' })
  }
  return parseJson(payload.toString('utf8')) as Snapshot
}

/** The hard state and the entries of a log file; entries that were replaced later are left out. */
function readRecords (snapshot: Snapshot, records: readonly StoredRecord[]): { hardState: HardState, entries: Entry[] } {
  let hardState: HardState = { term: snapshot.term, votedFor: undefined }
  let entries: Entry[] = []
  for (const record of records) {
    if (record.kind === 'hardState') {
      hardState = record.hardState
      continue
    }
    // An entry that is written again at an index replaces the old entry there and all entries after it. After a crash between the
    // installation of a snapshot and the replacement of the log, the next entry may not follow the old ones.
    const position = record.entry.index - (entries[0]?.index ?? record.entry.index)
    if (position < 0 || position > entries.length) entries = []
    else entries.length = position
    entries.push(record.entry)
  }
  return { hardState, entries }
}

/**
 * Combines a snapshot with the records of the log file.
 *
 * A crash can leave a log file that is older than the snapshot. Entries after the snapshot count only if they continue it: after
 * another entry at the snapshot's index they were never committed, and must not count in votes.
 *
 * @returns the restored state, and whether the file holds entries after the snapshot that don't count
 */
function replay (snapshot: Snapshot, records: readonly StoredRecord[]): { stored: StoredLog, hasForeignEntries: boolean } {
  const { hardState, entries } = readRecords(snapshot, records)
  const later = entries.filter(entry => entry.index > snapshot.index)
  const covered = entries.find(entry => entry.index === snapshot.index)
  const isContinuation = later[0]?.index === snapshot.index + 1 && (covered === undefined || covered.term === snapshot.term)
  return { stored: { hardState, snapshot, entries: isContinuation ? later : [] }, hasForeignEntries: later.length > 0 && !isContinuation }
}

/**
 * Saves and syncs the output of a step of the replica. The step's messages must not be sent, and its entries must not be
 * applied, before this is done.
 *
 * @param remaining entries that a snapshot in the output does not cover
 */
export async function saveOutput (storage: LogStorage, out: ReplicaOutput, remaining: readonly Entry[]): Promise<void> {
  if (out.hardState !== undefined) storage.hardState = out.hardState
  if (out.snapshot !== undefined) {
    await writeSnapshot(storage, out.snapshot)
    await rewriteLog(storage, remaining)
    return
  }
  const records: StoredRecord[] = out.entries.map(entry => ({ kind: 'entry', entry }))
  if (out.hardState !== undefined) records.unshift({ kind: 'hardState', hardState: out.hardState })
  if (records.length === 0) return
  await withDiskErrors('append', async () => {
    const bytes = Buffer.concat(records.map(encode))
    storage.logBytes += bytes.length
    await storage.file.appendFile(bytes)
    await storage.file.datasync()
    storage.syncs += 1
  })
}

/** Wraps errors of `work` in LynxError `diskFailed`. */
async function withDiskErrors (step: string, work: () => Promise<void>): Promise<void> {
  try {
    await work()
  } catch (err) {
    throw new LynxError('diskFailed', getErrorMessage(err), { step, cause: err })
  }
}

/** Replaces a file atomically: after a crash, either the old file or the whole new file exists. */
async function replaceFile (storage: LogStorage, name: string, bytes: Buffer): Promise<void> {
  const path = join(storage.folder, name)
  const temporary = `${path}.new`
  await rm(temporary, { force: true })
  try {
    await writeSynced(temporary, bytes)
    await rename(temporary, path)
  } catch (err) {
    // On a full disk, the incomplete file would take the space that the next attempt needs.
    await rm(temporary, { force: true }).catch(() => undefined)
    throw err
  }
  await syncFolder(storage.folder)
  storage.syncs += 2
}

/** Writes a file and syncs it to the disk. */
export async function writeSynced (path: string, bytes: Buffer): Promise<void> {
  const file = await open(path, 'w')
  try {
    await file.writeFile(bytes)
    await file.sync()
  } finally {
    await file.close()
  }
}

/** Number of bytes that a disk must be able to store before a log on it is opened again. */
const probeBytes = 65_536

/**
 * Checks that the disk of a folder can be written.
 *
 * @throws LynxError `diskFailed` if not
 */
export async function probeDisk (folder: string): Promise<void> {
  const path = join(folder, 'probe')
  await withDiskErrors('probe disk', async () => {
    try {
      await writeSynced(path, Buffer.alloc(probeBytes))
    } finally {
      await rm(path, { force: true })
    }
  })
}

async function syncFolder (folder: string): Promise<void> {
  const handle = await open(folder, 'r')
  try {
    await handle.sync()
  } finally {
    await handle.close()
  }
}

/** Replaces the snapshot file. */
export async function writeSnapshot (storage: LogStorage, snapshot: Snapshot): Promise<void> {
  await withDiskErrors('write snapshot', async () => await replaceFile(storage, snapshotFileName, frame(Buffer.from(JSON.stringify(snapshot)))))
}

/**
 * Replaces the log file after a snapshot.
 *
 * @param remaining entries that the snapshot does not cover
 */
export async function rewriteLog (storage: LogStorage, remaining: readonly Entry[]): Promise<void> {
  await withDiskErrors('rewrite log', async () => {
    const records: StoredRecord[] = [{ kind: 'hardState', hardState: storage.hardState }, ...remaining.map((entry): StoredRecord => ({ kind: 'entry', entry }))]
    const bytes = Buffer.concat(records.map(encode))
    await replaceFile(storage, logFileName, bytes)
    storage.logBytes = bytes.length
    await storage.file.close()
    storage.file = await open(join(storage.folder, logFileName), 'a+')
  })
}

/** Identity of a control VM's disk. */
export interface DiskIdentity {
  readonly incarnation: string
  readonly cluster: string | undefined
}

const identityFileName = 'identity.json'

/** Reads the identity of the disk. Returns undefined on an empty disk. */
export async function readIdentity (folder: string): Promise<DiskIdentity | undefined> {
  const bytes = await readFileIfExists(join(folder, identityFileName))
  if (bytes === undefined) return undefined
  try {
    return parseJson(bytes.toString('utf8')) as DiskIdentity
  } catch (err) {
    throw new LynxError('corruptLog', `${identityFileName}: ${getErrorMessage(err)}`, { step: 'read identity', cause: err })
  }
}

/** Writes the identity of the disk. */
export async function writeIdentity (storage: LogStorage, identity: DiskIdentity): Promise<void> {
  await withDiskErrors('write identity', async () => await replaceFile(storage, identityFileName, Buffer.from(JSON.stringify(identity))))
}
