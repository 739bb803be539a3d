/** Reads a settings file; an error names the file, the key and what was expected. */
import { readFileSync } from 'node:fs'
import { dirname, resolve } from 'node:path'
import { LynxError, getErrorMessage } from '@lynxcourse/base'
import type { CallerBlock } from '@lynxcourse/routing'
import type { RegionId } from '@lynxcourse/base'
import { parse } from 'yaml'
import type { z } from 'zod'
import { fleetFileSchema, resolveFleetSettings } from '../types/fleetFile.js'
import type { FleetSettings } from '../types/fleetSettings.js'
import { settingsSchema } from '../types/settings.js'
import type { Settings } from '../types/settings.js'

/**
 * Checks the text of a settings file.
 *
 * @param file its name, for errors
 * @throws LynxError `badSettings`
 */
export function parseSettings (text: string, file: string): Settings {
  return check(settingsSchema, parseYaml(text, file), file, '')
}

function parseYaml (text: string, file: string): unknown {
  try {
    return parse(text, { logLevel: 'error' })
  } catch (err) {
    throw new LynxError('badSettings', `${file}: ${getErrorMessage(err)}`, { step: 'parse', cause: err })
  }
}

function check<Schema extends z.ZodType> (schema: Schema, raw: unknown, file: string, prefix: string): z.output<Schema> {
  const checked = schema.safeParse(raw)
  if (checked.success) return checked.data
  const problems = checked.error.issues.map(issue => `${prefix}${issue.path.join('.') || '(top)'}: ${issue.message}`)
  const field = `${prefix}${checked.error.issues[0]?.path.join('.') ?? ''}`
  throw new LynxError('badSettings', `${file}: ${problems.join('; ')}`, { step: 'check', field })
}

/** A settings file of either kind of VM. */
export type AnySettings =
  | { readonly kind: 'service', readonly cfg: Settings }
  | { readonly kind: 'fleet', readonly cfg: FleetSettings }

/**
 * Checks the text of a settings file of either kind; a file whose top key is `fleet` is a fleet's.
 *
 * @throws LynxError `badSettings`
 */
export function parseAnySettings (text: string, file: string): AnySettings {
  const raw = parseYaml(text, file)
  if (!isFleetFile(raw)) return { kind: 'service', cfg: check(settingsSchema, raw, file, '') }
  const other = Object.keys(raw).find(key => key !== 'fleet')
  if (other !== undefined) throw new LynxError('badSettings', `${file}: ${other}: unknown beside fleet`, { step: 'check', field: other })
  return { kind: 'fleet', cfg: resolveFleetSettings(check(fleetFileSchema, raw.fleet, file, 'fleet.')) }
}

function isFleetFile (raw: unknown): raw is { readonly fleet: unknown } {
  return typeof raw === 'object' && raw !== null && 'fleet' in raw
}

/** Reads and checks a settings file of either kind. */
export function readAnySettings (file: string): AnySettings {
  return parseAnySettings(readText(file), file)
}

/** Reads and checks a settings file. */
export function readSettings (file: string): Settings {
  return parseSettings(readText(file), file)
}

function readText (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (err) {
    throw new LynxError('badSettings', `${file}: ${getErrorMessage(err)}`, { step: 'read', cause: err })
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
