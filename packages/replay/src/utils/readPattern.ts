/** Reads a load pattern from a YAML file. */
import { readFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { LynxError } from '@lynxcourse/base'
import { parse } from 'yaml'
import { patternSchema } from '../types/pattern.js'
import type { Pattern } from '../types/pattern.js'

/**
 * Reads and validates a pattern. A pattern with `extends: FILE` inherits from that file the fields that it doesn't set itself.
 *
 * @throws LynxError that names the file and the invalid field
 */
export function readPattern (file: string): Pattern {
  const read = patternSchema.safeParse(readFields(file))
  if (read.success) return read.data
  const [issue] = read.error.issues
  throw new LynxError('badSettings', `${file}: ${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'is invalid'}`, { step: 'read pattern' })
}

type Fields = Readonly<Record<string, unknown>>

function readFields (file: string): Fields {
  const { extends: base, ...own } = parseFile(file)
  if (base === undefined) return own
  if (typeof base !== 'string') throw new LynxError('badSettings', `${file}: extends: must be a file name`, { step: 'read pattern' })
  return { ...readFields(join(dirname(file), base)), ...own }
}

function parseFile (file: string): Fields {
  try {
    const fields: unknown = parse(readFileSync(file, 'utf8'))
    if (typeof fields === 'object' && fields !== null) return fields as Fields
  } catch (err) {
    throw new LynxError('badSettings', `${file}: cannot be read`, { step: 'read pattern', cause: err })
  }
  throw new LynxError('badSettings', `${file}: must contain a YAML mapping`, { step: 'read pattern' })
}
