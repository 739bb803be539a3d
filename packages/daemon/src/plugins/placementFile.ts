/**
 * The file in which a control VM stores the last update on object placement: region plans with their demand, and weights of
 * servers.
 *
 * If all control VMs fail at the same time, the servers continue with warm caches, but the next leader has no plan and no
 * weights. Without the file, nearly every object would move to another server, where it is cold, and answers would be late
 * for two seconds more after such a start. Every control VM has the leader's last update in memory; the file makes it
 * survive a restart. The file is a hint: a missing or damaged file only loses this benefit.
 */
import { readFile, rename, rm } from 'node:fs/promises'
import { join } from 'node:path'
import { LynxError, getErrorMessage } from '@lynxcourse/base'
import * as z from 'zod'
import type { LoadUpdate } from '@lynxcourse/placement'
import { writeSynced } from './logStorage.js'

const fileName = 'placement.json'
const keyedNumber = z.tuple([z.string(), z.number()])
const fileSchema = z.object({
  plans: z.array(z.object({
    service: z.string(),
    isMeasured: z.boolean(),
    fill: z.number(),
    busy: z.number(),
    demand: z.array(keyedNumber),
    shares: z.array(z.tuple([z.string(), z.array(keyedNumber)]))
  })),
  weights: z.object({ version: z.number(), servers: z.array(keyedNumber) }).optional()
})

/** Replaces the file atomically: after a crash, either the old file or the whole new file exists. */
export async function writePlacement (folder: string, { plans, weights }: LoadUpdate): Promise<void> {
  const path = join(folder, fileName)
  const temporary = `${path}.new`
  try {
    await writeSynced(temporary, Buffer.from(JSON.stringify({ plans, weights })))
    await rename(temporary, path)
  } catch (err) {
    // On a full disk, the incomplete file would take space that the log needs.
    await rm(temporary, { force: true }).catch(() => undefined)
    throw err
  }
}

/**
 * Reads the file. Returns undefined if the file does not exist.
 *
 * @throws LynxError `badRequest` if the contents are invalid
 */
export async function readPlacement (folder: string): Promise<LoadUpdate | undefined> {
  let text: string
  try {
    text = await readFile(join(folder, fileName), 'utf8')
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code === 'ENOENT') return undefined
    throw err
  }
  try {
    const placement = fileSchema.parse(JSON.parse(text))
    return { full: [], silent: [], ...placement } as unknown as LoadUpdate
  } catch (err) {
    throw new LynxError('badRequest', getErrorMessage(err), { step: 'read placement', field: fileName, cause: err })
  }
}
