/**
 * Where a control VM keeps what it last heard of objects' placement: region plans with their demand, and weights of servers.
 *
 * What can go wrong: all control VMs die at one moment. The servers live on with warm caches, but the next leader knows no plan
 * and no weights, so nearly every object gets another server and is cold there. It shows as answers that are late for two seconds
 * more after such a start. Each control VM holds the leader's last word anyway; kept on its disk, a restart finds it. It is a hint: a file that is missing or torn only costs the gain.
 */
import { open, readFile, rename } from 'node:fs/promises'
import { join } from 'node:path'
import { LynxError, getErrorMessage } from '@lynxcourse/base'
import * as z from 'zod'
import type { LoadUpdate } from '@lynxcourse/placement'

const fileName = 'placement.json'
const pair = z.tuple([z.string(), z.number()])
const fileSchema = z.object({
  plans: z.array(z.object({
    service: z.string(),
    isMeasured: z.boolean(),
    fill: z.number(),
    busy: z.number(),
    demand: z.array(pair),
    shares: z.array(z.tuple([z.string(), z.array(pair)]))
  })),
  weights: z.object({ version: z.number(), servers: z.array(pair) }).optional()
})

/** Writes the placement, so that either the old file or the new one is there. */
export async function writePlacement (folder: string, { plans, weights }: LoadUpdate): Promise<void> {
  const path = join(folder, fileName)
  const temporary = `${path}.new`
  const file = await open(temporary, 'w')
  try {
    await file.writeFile(JSON.stringify({ plans, weights }))
    await file.sync()
  } finally {
    await file.close()
  }
  await rename(temporary, path)
}

/**
 * Reads the placement; undefined where there is none.
 *
 * @throws LynxError `badRequest` when the file holds anything else
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
