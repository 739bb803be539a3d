/** Reads a settings file; an error names the file, the key and what was expected. */
import { readFileSync } from 'node:fs'
import { dirname, resolve } from 'node:path'
import { LynxError, messageOf } from '@lynxcourse/base'
import type { CallerBlock } from '@lynxcourse/routing'
import type { RegionId } from '@lynxcourse/base'
import { parse } from 'yaml'
import { settingsSchema } from '../types/settings.js'
import type { Settings } from '../types/settings.js'

/**
 * Checks the text of a settings file.
 *
 * @param file its name, for errors
 * @throws LynxError `badSettings`
 */
export function parseSettings (text: string, file: string): Settings {
  let raw: unknown
  try {
    raw = parse(text, { logLevel: 'error' })
  } catch (err) {
    throw new LynxError('badSettings', `${file}: ${messageOf(err)}`, { step: 'parse', cause: err })
  }
  const checked = settingsSchema.safeParse(raw)
  if (checked.success) return checked.data
  const problems = checked.error.issues.map(issue => `${issue.path.join('.') || '(top)'}: ${issue.message}`)
  const field = checked.error.issues[0]?.path.join('.') ?? ''
  throw new LynxError('badSettings', `${file}: ${problems.join('; ')}`, { step: 'check', field })
}

/** Reads and checks a settings file. */
export function readSettings (file: string): Settings {
  return parseSettings(readText(file), file)
}

function readText (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (err) {
    throw new LynxError('badSettings', `${file}: ${messageOf(err)}`, { step: 'read', cause: err })
  }
}

/** All blocks of callers: from the settings and from the file that they name. */
export function readCallerBlocks (cfg: Settings, settingsFile: string): CallerBlock[] {
  if (cfg.callerBlocksFile === undefined) return cfg.callerBlocks
  const file = resolve(dirname(settingsFile), cfg.callerBlocksFile)
  const blocks: CallerBlock[] = [...cfg.callerBlocks]
  readText(file).split('\n').forEach((line, place) => {
    const text = line.trim()
    if (text === '' || text.startsWith('#')) return
    const [cidr, region, extra] = text.split(/\s+/)
    if (cidr === undefined || region === undefined || extra !== undefined) {
      throw new LynxError('badSettings', `${file}:${place + 1}: expected 'CIDR region'`, { step: 'read', field: 'callerBlocksFile' })
    }
    blocks.push({ cidr, region: region as RegionId })
  })
  return blocks
}
