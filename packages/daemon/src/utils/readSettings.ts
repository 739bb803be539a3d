/** Reads settings files. An error names the file, the key and the expected value. */
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
 * Parses and validates the text of a settings file.
 *
 * @param file name of the file, for errors
 * @throws LynxError `badSettings`
 */
export function parseSettings (text: string, file: string): Settings {
  return validate(settingsSchema, parseYaml(text, file), file, '')
}

function parseYaml (text: string, file: string): unknown {
  try {
    return parse(text, { logLevel: 'error' })
  } catch (err) {
    throw new LynxError('badSettings', `${file}: ${getErrorMessage(err)}`, { step: 'parse', cause: err })
  }
}

function validate<Schema extends z.ZodType> (schema: Schema, raw: unknown, file: string, prefix: string): z.output<Schema> {
  const result = schema.safeParse(raw)
  if (result.success) return result.data
  const problems = result.error.issues.map(issue => `${prefix}${issue.path.join('.') || '(top)'}: ${issue.message}`)
  const field = `${prefix}${result.error.issues[0]?.path.join('.') ?? ''}`
  throw new LynxError('badSettings', `${file}: ${problems.join('; ')}`, { step: 'check', field })
}

/** Settings of a service-addressed VM or of a fleet's VM. */
export type AnySettings =
  | { readonly kind: 'service', readonly cfg: Settings }
  | { readonly kind: 'fleet', readonly cfg: FleetSettings }

/**
 * Parses and validates the text of a settings file of either kind. The settings of a fleet's VM are under the key `fleet`.
 *
 * @throws LynxError `badSettings`
 */
export function parseAnySettings (text: string, file: string): AnySettings {
  const raw = parseYaml(text, file)
  if (!isFleetFile(raw)) return { kind: 'service', cfg: validate(settingsSchema, raw, file, '') }
  const unknownKey = Object.keys(raw).find(key => key !== 'fleet')
  if (unknownKey !== undefined) throw new LynxError('badSettings', `${file}: ${unknownKey}: is not allowed beside the key fleet`, { step: 'check', field: unknownKey })
  return { kind: 'fleet', cfg: resolveFleetSettings(validate(fleetFileSchema, raw.fleet, file, 'fleet.')) }
}

function isFleetFile (raw: unknown): raw is { readonly fleet: unknown } {
  return typeof raw === 'object' && raw !== null && 'fleet' in raw
}

/** Reads and validates a settings file of either kind. */
export function readAnySettings (file: string): AnySettings {
  return parseAnySettings(readText(file), file)
}

/** Reads and validates a settings file of a service-addressed VM. */
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

/** Returns all caller blocks: those in the settings and those in the file that the settings name. */
export function readCallerBlocks (cfg: Settings, settingsFile: string): CallerBlock[] {
  if (cfg.callerBlocksFile === undefined) return cfg.callerBlocks
  const file = resolve(dirname(settingsFile), cfg.callerBlocksFile)
  const blocks: CallerBlock[] = [...cfg.callerBlocks]
  readText(file).split('\n').forEach((line, index) => {
    const text = line.trim()
    if (text === '' || text.startsWith('#')) return
    const [cidr, region, extra] = text.split(/\s+/)
    if (cidr === undefined || region === undefined || extra !== undefined) {
      throw new LynxError('badSettings', `${file}:${index + 1}: expected 'CIDR region'`, { step: 'read', field: 'callerBlocksFile' })
    }
    blocks.push({ cidr, region: region as RegionId })
  })
  return blocks
}
