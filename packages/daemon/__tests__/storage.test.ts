import assert from 'node:assert/strict'
import { appendFile, mkdtemp, readFile, rm, stat, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import fc from 'fast-check'
import { createInitialSnapshot } from '@lynxcourse/agreement'
import type { Entry, ReplicaOutput, Snapshot } from '@lynxcourse/agreement'
import { brandId, isLynxError } from '@lynxcourse/base'
import type { HolderId } from '@lynxcourse/base'
import { openStorage, parseLog, parseSnapshot, saveOutput, writeSnapshot } from '@lynxcourse/daemon'

const seed = 41
console.log(`seed ${seed}`)

const voter = brandId<HolderId>('v/1')

function entry (index: number, term = 1): Entry {
  return { index, term, at: 5, body: { type: 'command', command: { n: index } } }
}

function output (fields: Partial<ReplicaOutput>): ReplicaOutput {
  return { hardState: undefined, entries: [], snapshot: undefined, installSnapshot: false, messages: [], committed: [], confirmedReads: [], failedReads: [], proposed: [], ...fields }
}

async function withFolder (work: (folder: string) => Promise<void>): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'lynxcourse-log-'))
  try {
    await work(folder)
  } finally {
    await rm(folder, { recursive: true, force: true })
  }
}

/** Writes a log with entries 1 to 3 of term 1, and a replacement for entry 3 of term 2. */
async function writeLog (folder: string): Promise<void> {
  const { storage } = await openStorage(folder)
  await writeSnapshot(storage, createInitialSnapshot([voter], ''))
  await saveOutput(storage, output({ hardState: { term: 1, votedFor: voter }, entries: [entry(1), entry(2), entry(3)] }), [])
  await saveOutput(storage, output({ hardState: { term: 2, votedFor: undefined }, entries: [entry(3, 2)] }), [])
  await storage[Symbol.asyncDispose]()
}

/** Returns index and term of each entry. */
async function readEntryIds (folder: string): Promise<Array<[number, number]> | undefined> {
  const { storage, stored } = await openStorage(folder)
  await storage[Symbol.asyncDispose]()
  return stored?.entries.map(item => [item.index, item.term])
}

test('opening the log reads all saved entries, and only the last entry at each index', async () => {
  await withFolder(async folder => {
    await writeLog(folder)
    assert.deepEqual(await readEntryIds(folder), [[1, 1], [2, 1], [3, 2]])
    const { storage, stored } = await openStorage(folder)
    assert.deepEqual(stored?.hardState, { term: 2 })
    await storage[Symbol.asyncDispose]()
  })
})

test('an incomplete last record is truncated, and new entries can be appended', async () => {
  // Guards against this failure: the VM does not start after a power failure.
  await withFolder(async folder => {
    await writeLog(folder)
    const whole = await readFile(join(folder, 'log'))
    for (const cut of [1, 5, 20]) {
      await writeFile(join(folder, 'log'), whole.subarray(0, whole.length - cut))
      assert.deepEqual(await readEntryIds(folder), [[1, 1], [2, 1], [3, 1]])
    }
    const { storage } = await openStorage(folder)
    await saveOutput(storage, output({ entries: [entry(4, 3)] }), [])
    await storage[Symbol.asyncDispose]()
    assert.deepEqual(await readEntryIds(folder), [[1, 1], [2, 1], [3, 1], [4, 3]])
  })
})

test('a damaged record in the middle is an error', async () => {
  // Guards against this failure: committed entries are lost without an error.
  await withFolder(async folder => {
    await writeLog(folder)
    const bytes = await readFile(join(folder, 'log'))
    bytes[20] = (bytes[20] ?? 0) ^ 255
    await writeFile(join(folder, 'log'), bytes)
    await assert.rejects(openStorage(folder), err => isLynxError(err, 'corruptLog'))
  })
})

test('a snapshot replaces the entries that it covers, and a damaged snapshot is an error', async () => {
  await withFolder(async folder => {
    await writeLog(folder)
    const { storage } = await openStorage(folder)
    const snapshot = { ...createInitialSnapshot([voter], 'state'), index: 2, term: 1 }
    await saveOutput(storage, output({ snapshot }), [entry(3, 2)])
    await storage[Symbol.asyncDispose]()
    assert.deepEqual(await readEntryIds(folder), [[3, 2]])
    await appendFile(join(folder, 'snapshot'), 'x')
    await assert.rejects(openStorage(folder), err => isLynxError(err, 'corruptLog'))
  })
})

test('any bytes either parse or fail with LynxError corruptLog', () => {
  const bytes = fc.uint8Array({ maxLength: 300 })
  fc.assert(fc.property(bytes, raw => {
    for (const parse of [parseLog, parseSnapshot]) {
      try {
        parse(Buffer.from(raw))
      } catch (err) {
        assert.ok(isLynxError(err, 'corruptLog'))
      }
    }
  }), { seed, numRuns: 500 })
})

test('a log truncated at any byte parses to a prefix of its records', async () => {
  await withFolder(async folder => {
    await writeLog(folder)
    const whole = await readFile(join(folder, 'log'))
    const allRecords = parseLog(whole).records
    for (let length = 0; length <= whole.length; length++) {
      const { records } = parseLog(whole.subarray(0, length))
      assert.deepEqual(records, allRecords.slice(0, records.length))
    }
  })
})

/** Guards against keys of teams that other users of the machine can read. */
test('only the owner can read a new folder of the log', async () => {
  await withFolder(async folder => {
    const created = join(folder, 'control')
    const { storage } = await openStorage(created)
    await storage[Symbol.asyncDispose]()
    assert.equal((await stat(created)).mode & 0o077, 0)
  })
})

/** Index and term of the entries that a start reads after a crash between the two files of an installed snapshot, and after one more entry. */
async function readAfterInterruptedInstall (folder: string, snapshot: Snapshot, next: Entry): Promise<Array<Array<[number, number]> | undefined>> {
  const { storage } = await openStorage(folder)
  await writeSnapshot(storage, snapshot)
  await storage[Symbol.asyncDispose]()
  const first = await readEntryIds(folder)
  const { storage: reopened } = await openStorage(folder)
  await saveOutput(reopened, output({ entries: [next] }), [])
  await reopened[Symbol.asyncDispose]()
  return [first, await readEntryIds(folder)]
}

// Guards against entries of a former leader that count again because the process ended between the snapshot and the log.
test('entries after a snapshot whose predecessor was replaced don\'t count after a crash, and later ones do', async () => {
  await withFolder(async folder => {
    await writeLog(folder)
    const snapshot = { ...createInitialSnapshot([voter], ''), index: 2, term: 3 }
    assert.deepEqual(await readAfterInterruptedInstall(folder, snapshot, entry(3, 3)), [[], [[3, 3]]])
  })
})

// Guards against entries that were removed from the log and count again because a snapshot covers the ones that replaced them.
test('entries that were replaced below a snapshot don\'t count after a crash', async () => {
  await withFolder(async folder => {
    const { storage } = await openStorage(folder)
    await writeSnapshot(storage, createInitialSnapshot([voter], ''))
    await saveOutput(storage, output({ entries: [entry(1), entry(2), entry(3), entry(4)] }), [])
    await saveOutput(storage, output({ entries: [entry(2, 2)] }), [])
    await storage[Symbol.asyncDispose]()
    const snapshot = { ...createInitialSnapshot([voter], ''), index: 3, term: 2 }
    assert.deepEqual(await readAfterInterruptedInstall(folder, snapshot, entry(4, 2)), [[], [[4, 2]]])
  })
})

// Guards against a start that loses entries because the process ended between the snapshot and the log.
test('entries after a snapshot that the log matches are kept after a crash', async () => {
  await withFolder(async folder => {
    await writeLog(folder)
    const snapshot = { ...createInitialSnapshot([voter], ''), index: 2, term: 1 }
    assert.deepEqual(await readAfterInterruptedInstall(folder, snapshot, entry(4, 2)), [[[3, 2]], [[3, 2], [4, 2]]])
  })
})
