/** Validates JSON input from other processes. */
import { LynxError, getErrorMessage, parseJson } from '@lynxcourse/base'
import type { z } from 'zod'

/**
 * Parses and validates a JSON body.
 *
 * @param step name of the current operation, for the error
 * @throws LynxError `badRequest` that names the invalid field
 */
export function parseJsonBody<Schema extends z.ZodType> (schema: Schema, text: string, step: string): z.output<Schema> {
  let raw: unknown
  try {
    raw = parseJson(text)
  } catch (err) {
    throw new LynxError('badRequest', `body: ${getErrorMessage(err)}`, { step, field: 'body', cause: err })
  }
  return validateValue(schema, raw, step, '')
}

/**
 * Validates a parsed value.
 *
 * @param step name of the current operation, for the error
 * @param path path of the value in the whole document, for the error; empty for the document itself
 * @throws LynxError `badRequest` that names the invalid field
 */
export function validateValue<Schema extends z.ZodType> (schema: Schema, value: unknown, step: string, path: string): z.output<Schema> {
  const result = schema.safeParse(value)
  if (result.success) return result.data
  const issue = result.error.issues[0]
  const field = [path, ...issue?.path ?? []].filter(segment => segment !== '').join('.')
  throw new LynxError('badRequest', `${field}: ${issue?.message}`, { step, field })
}
