/** Checks JSON that comes from outside. */
import { LynxError, getErrorMessage } from '@lynxcourse/base'
import type { z } from 'zod'

/**
 * Parses and checks a body.
 *
 * @param step what is being done, for the error
 * @throws LynxError `badRequest` naming the field
 */
export function parseJsonBody<Schema extends z.ZodType> (schema: Schema, text: string, step: string): z.output<Schema> {
  let raw: unknown
  try {
    raw = JSON.parse(text)
  } catch (err) {
    throw new LynxError('badRequest', `body: ${getErrorMessage(err)}`, { step, field: 'body', cause: err })
  }
  return validateValue(schema, raw, step, '')
}

/**
 * Checks a value.
 *
 * @param at where it stands in the whole, for the error; empty at the top
 * @throws LynxError `badRequest` naming the field
 */
export function validateValue<Schema extends z.ZodType> (schema: Schema, value: unknown, step: string, at: string): z.output<Schema> {
  const checked = schema.safeParse(value)
  if (checked.success) return checked.data
  const issue = checked.error.issues[0]
  const field = [at, ...issue?.path ?? []].filter(part => part !== '').join('.')
  throw new LynxError('badRequest', `${field}: ${issue?.message}`, { step, field })
}
