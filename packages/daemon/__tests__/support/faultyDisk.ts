/** Faults of the disks of VMs in this process: folders that refuse writes, or whose syncs stall. */
import { promises } from 'node:fs'
import type { PathLike } from 'node:fs'
import type { FileHandle } from 'node:fs/promises'
import { syncBuiltinESMExports } from 'node:module'

/** Folders with a fault. All files that are opened below them, also before the fault, are concerned. */
export interface FaultyDisks extends Disposable {
  readonly full: Set<string>
  /** Syncs in these folders wait until the promise resolves. */
  readonly stalled: Map<string, Promise<void>>
  /** Number of writes that were refused. */
  refused: number
}

function createFullError (): Error {
  return Object.assign(new Error('ENOSPC: no space left on device, write'), { code: 'ENOSPC' })
}

/** Replaces the function that opens files until disposal. */
export function injectDiskFaults (): FaultyDisks {
  const { open } = promises
  const disks: FaultyDisks = {
    full: new Set(),
    stalled: new Map(),
    refused: 0,
    [Symbol.dispose]: () => {
      promises.open = open
      syncBuiltinESMExports()
    }
  }
  promises.open = async (path: PathLike, ...args) => injectFileFaults(disks, String(path), await open(path, ...args))
  syncBuiltinESMExports()
  return disks
}

function isWithin (folders: Iterable<string>, path: string): string | undefined {
  return [...folders].find(folder => path.startsWith(`${folder}/`))
}

function injectFileFaults (disks: FaultyDisks, path: string, file: FileHandle): FileHandle {
  const write = (name: 'appendFile' | 'writeFile'): void => {
    const original = file[name].bind(file)
    file[name] = async (data, ...args) => {
      if (isWithin(disks.full, path) === undefined) return await original(data, ...args)
      disks.refused += 1
      // The first bytes may still fit, so that the last record of a log is incomplete.
      await original((data as Buffer).subarray(0, data.length / 2), ...args)
      throw createFullError()
    }
  }
  const sync = (name: 'datasync' | 'sync'): void => {
    const original = file[name].bind(file)
    file[name] = async () => {
      const folder = isWithin(disks.stalled.keys(), path)
      if (folder !== undefined) await disks.stalled.get(folder)
      await original()
    }
  }
  write('appendFile')
  write('writeFile')
  sync('datasync')
  sync('sync')
  return file
}
