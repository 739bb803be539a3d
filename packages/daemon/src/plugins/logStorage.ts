/**
 * The replicated log on disk: one append-only file of checked records and one snapshot file.
 *
 * What can go wrong: power fails in the middle of a write and leaves a torn last record. It was never
 * synced, so nobody was told of it: it is cut off. A bad record with others after it is different:
 * synced data was damaged, so the copy must not go on with a part of what it vouched for. It refuses
 * to start; with an emptied folder it returns as a new member.
 */
import { mkdir, open, readFile, rename, rm } from 'node:fs/promises'
import type { FileHandle } from 'node:fs/promises'
import { join } from 'node:path'
import { crc32 } from 'node:zlib'
import { LynxError, getErrorMessage } from '@lynxcourse/base'
import type { Entry, HardState, ReplicaOutput, Snapshot, StoredLog } from '@lynxcourse/agreement'

const headerBytes = 8
const logName = 'log'
const snapshotName = 'snapshot'

type StoredRecord =
  | { readonly kind: 'hardState', readonly hardState: HardState }
  | { readonly kind: 'entry', readonly entry: Entry }

/** An open log. */
export interface LogStorage extends AsyncDisposable {
  readonly folder: string
  file: FileHandle
  hardState: HardState
  /** Number of syncs so far. */
  syncs: number
}

function frame (payload: Buffer): Buffer {
  const header = Buffer.alloc(headerBytes)
  header.writeUInt32LE(payload.length, 0)
  header.writeUInt32LE(crc32(payload), 4)
  return Buffer.concat([header, payload])
}

function encode (record: StoredRecord): Buffer {
  return frame(Buffer.from(JSON.stringify(record)))
}

/** Records of a log file and the length of its sound part. */
export interface ParsedLog {
  readonly records: readonly StoredRecord[]
  readonly soundBytes: number
}

/**
 * Parses a log file's bytes.
 *
 * @throws LynxError `corruptLog` when a bad record is followed by more data
 */
export function parseLog (bytes: Buffer): ParsedLog {
  const records: StoredRecord[] = []
  let at = 0
  while (at + headerBytes <= bytes.length) {
    const length = bytes.readUInt32LE(at)
    const end = at + headerBytes + length
    if (end > bytes.length) break
    const payload = bytes.subarray(at + headerBytes, end)
    const record = crc32(payload) === bytes.readUInt32LE(at + 4) ? decode(payload) : undefined
    if (record === undefined) {
      if (end < bytes.length) throw new LynxError('corruptLog', `record at byte ${at} of ${bytes.length}`, { step: 'read log' })
      break
    }
    records.push(record)
    at = end
  }
  return { records, soundBytes: at }
}

function decode (payload: Buffer): StoredRecord | undefined {
  try {
    const record = JSON.parse(payload.toString('utf8')) as StoredRecord
    return record.kind === 'entry' || record.kind === 'hardState' ? record : undefined
  } catch {
    return undefined
  }
}

/** Opens the log in a folder. */
export async function openStorage (folder: string): Promise<{ storage: LogStorage, stored: StoredLog | undefined }> {
  try {
    await mkdir(folder, { recursive: true })
    const snapshot = await readSnapshot(folder)
    const path = join(folder, logName)
    const parsed = parseLog(await readIfThere(path) ?? Buffer.alloc(0))
    const file = await open(path, 'a+')
    await file.truncate(parsed.soundBytes)
    const stored = snapshot === undefined ? undefined : replay(snapshot, parsed.records)
    const hardState = stored?.hardState ?? { term: 0, votedFor: undefined }
    const storage: LogStorage = { folder, file, hardState, syncs: 0, [Symbol.asyncDispose]: async () => await storage.file.close() }
    return { storage, stored }
  } catch (err) {
    if (err instanceof LynxError) throw err
    throw new LynxError('diskFailed', getErrorMessage(err), { step: 'open log', cause: err })
  }
}

async function readSnapshot (folder: string): Promise<Snapshot | undefined> {
  const bytes = await readIfThere(join(folder, snapshotName))
  return bytes === undefined ? undefined : parseSnapshot(bytes)
}

async function readIfThere (path: string): Promise<Buffer | undefined> {
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
 * @throws LynxError `corruptLog` when they are not whole
 */
export function parseSnapshot (bytes: Buffer): Snapshot {
  const isWhole = bytes.length >= headerBytes && bytes.readUInt32LE(0) === bytes.length - headerBytes
  const payload = bytes.subarray(headerBytes)
  if (!isWhole || crc32(payload) !== bytes.readUInt32LE(4)) {
    throw new LynxError('corruptLog', 'snapshot is not whole', { step: 'read snapshot' })
  }
  return JSON.parse(payload.toString('utf8')) as Snapshot
}

function replay (snapshot: Snapshot, records: readonly StoredRecord[]): StoredLog {
  let hardState: HardState = { term: snapshot.term, votedFor: undefined }
  const entries: Entry[] = []
  for (const record of records) {
    if (record.kind === 'hardState') {
      hardState = record.hardState
      continue
    }
    const { entry } = record
    if (entry.index <= snapshot.index) continue
    // An entry written again at an index voids what stood there and after it.
    entries.length = Math.min(entries.length, entry.index - snapshot.index - 1)
    if (entry.index === snapshot.index + entries.length + 1) entries.push(entry)
  }
  return { hardState, snapshot, entries }
}

/** Saves and syncs what a step asked to save. Nothing of it may be sent or applied before. */
export async function saveOutput (storage: LogStorage, out: ReplicaOutput, kept: readonly Entry[]): Promise<void> {
  if (out.hardState !== undefined) storage.hardState = out.hardState
  if (out.snapshot !== undefined) {
    await writeSnapshot(storage, out.snapshot)
    await rewriteLog(storage, kept)
    return
  }
  const records: StoredRecord[] = out.entries.map(entry => ({ kind: 'entry', entry }))
  if (out.hardState !== undefined) records.unshift({ kind: 'hardState', hardState: out.hardState })
  if (records.length === 0) return
  await guard('append', async () => {
    await storage.file.appendFile(Buffer.concat(records.map(encode)))
    await storage.file.datasync()
    storage.syncs += 1
  })
}

async function guard (step: string, work: () => Promise<void>): Promise<void> {
  try {
    await work()
  } catch (err) {
    throw new LynxError('diskFailed', getErrorMessage(err), { step, cause: err })
  }
}

/** Writes a whole file so that either the old one or the new one is there, never a part. */
async function replaceFile (storage: LogStorage, name: string, bytes: Buffer): Promise<void> {
  const path = join(storage.folder, name)
  const temporary = `${path}.new`
  await rm(temporary, { force: true })
  const file = await open(temporary, 'w')
  try {
    await file.writeFile(bytes)
    await file.sync()
  } finally {
    await file.close()
  }
  await rename(temporary, path)
  await syncFolder(storage.folder)
  storage.syncs += 2
}

async function syncFolder (folder: string): Promise<void> {
  const handle = await open(folder, 'r')
  try {
    await handle.sync()
  } finally {
    await handle.close()
  }
}

/** Writes a snapshot. */
export async function writeSnapshot (storage: LogStorage, snapshot: Snapshot): Promise<void> {
  await guard('write snapshot', async () => await replaceFile(storage, snapshotName, frame(Buffer.from(JSON.stringify(snapshot)))))
}

/** Starts the log file anew with the entries that the snapshot does not cover. */
export async function rewriteLog (storage: LogStorage, kept: readonly Entry[]): Promise<void> {
  await guard('rewrite log', async () => {
    const records: StoredRecord[] = [{ kind: 'hardState', hardState: storage.hardState }, ...kept.map((entry): StoredRecord => ({ kind: 'entry', entry }))]
    await replaceFile(storage, logName, Buffer.concat(records.map(encode)))
    await storage.file.close()
    storage.file = await open(join(storage.folder, logName), 'a+')
  })
}

/** Identity of a control VM's disk. */
export interface DiskIdentity {
  readonly incarnation: string
  readonly cluster: string | undefined
}

const identityName = 'identity.json'

/** Reads the disk's identity; undefined on an empty disk. */
export async function readIdentity (folder: string): Promise<DiskIdentity | undefined> {
  const bytes = await readIfThere(join(folder, identityName))
  if (bytes === undefined) return undefined
  try {
    return JSON.parse(bytes.toString('utf8')) as DiskIdentity
  } catch (err) {
    throw new LynxError('corruptLog', `${identityName}: ${getErrorMessage(err)}`, { step: 'read identity', cause: err })
  }
}

/** Writes the disk's identity. */
export async function writeIdentity (storage: LogStorage, identity: DiskIdentity): Promise<void> {
  await guard('write identity', async () => await replaceFile(storage, identityName, Buffer.from(JSON.stringify(identity))))
}
