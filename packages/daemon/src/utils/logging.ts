/** Logging by winston's formats. A line has a prefix for its part of the program, a short sentence and fields. */
import { Writable } from 'node:stream'
import winston from 'winston'
import { getCurrentTime } from './clock.js'
import { takeLineToken } from './lineBudget.js'
import type { LineBudget } from './lineBudget.js'
import { openLogStream } from './logStream.js'

/** Parts of the program that log; the name is the prefix of their lines. */
export type LogPart = 'access' | 'agree' | 'announce' | 'claim' | 'client' | 'daemon' | 'drain' | 'limit' | 'lookup' | 'member' | 'notice' | 'retry' | 'rollout' | 'route' | 'rpc' | 'shift' | 'sync'

export type LogLevel = 'error' | 'warn' | 'info' | 'debug'

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

const severities: Record<LogLevel, number> = { error: 0, warn: 1, info: 2, debug: 3 }

/** The log of one process. */
export interface Logs {
  readonly format: winston.Logform.Format
  readonly stream: Writable
  readonly level: LogLevel
  readonly parts: Readonly<Record<string, LogLevel>>
  readonly budget: LineBudget
}

/** Settings of the log. */
export interface LogSettings {
  readonly format: 'text' | 'json'
  readonly level: LogLevel
  /** Levels of individual parts, by prefix; all others use `level`. */
  readonly parts: Readonly<Record<string, LogLevel>>
}

/** Keys under which winston's formats store the level and the formatted line. */
const levelKey = Symbol.for('level')
const lineKey = Symbol.for('message')

function formatLine (info: winston.Logform.TransformableInfo): string {
  const { level, message, timestamp, part, ...fields } = info
  const definedFields = Object.entries(fields).filter(([, value]) => value !== undefined)
  const suffix = definedFields.map(([key, value]) => ` ${key}=${String(value)}`).join('')
  return `${String(timestamp)} ${level} [${String(part)}] ${String(message)}${suffix}`
}

/**
 * Formats lines as JSON. The formats `timestamp` and `json` of winston sort the fields and call a replacer for each of them, which
 * takes several times as long; fields are plain values, so that neither is needed.
 */
const formatJson = winston.format(info => {
  info.timestamp = new Date().toISOString()
  info[lineKey] = JSON.stringify(info)
  return info
})

/** Longer texts are cut: clients choose some of them, such as paths. */
const maxTextLength = 500

/** Returns fields whose texts are short enough for a line. */
function cutTexts (fields: LogFields): LogFields {
  const isLong = (value: LogFields[string]): value is string => typeof value === 'string' && value.length > maxTextLength
  if (!Object.values(fields).some(isLong)) return fields
  return Object.fromEntries(Object.entries(fields).map(([key, value]) => [key, isLong(value) ? `${value.slice(0, maxTextLength)}...` : value]))
}

/** Opens a log that writes to standard output. */
export function openLogs (cfg: LogSettings): Logs {
  const { combine, timestamp, printf } = winston.format
  const format = cfg.format === 'json' ? formatJson() : combine(timestamp(), printf(formatLine))
  return { format, stream: openLogStream(), level: cfg.level, parts: cfg.parts, budget: new Map() }
}

/** Creates a log that discards all lines, for tests. */
export function createSilentLogs (): Logs {
  return { format: winston.format.simple(), stream: new Writable({ write: (_chunk, _encoding, done) => done() }), level: 'error', parts: {}, budget: new Map() }
}

/** Returns whether a part logs at a level. Check this first where computing the fields is expensive. */
export function isLogged (logs: Logs, part: LogPart, level: LogLevel): boolean {
  return severities[level] <= severities[logs.parts[part] ?? logs.level]
}

/**
 * Writes one line if the level is enabled and the part's line budget allows it. Winston's formats produce the line, but
 * the line is written to the stream directly: the chain of streams in winston's logger costs more than the rest of a
 * routing decision.
 */
export function log (logs: Logs, part: LogPart, level: LogLevel, message: string, fields: LogFields = {}): void {
  if (!isLogged(logs, part, level)) return
  const skipped = takeLineToken(logs.budget, `${part} ${level}`, getCurrentTime())
  if (skipped === undefined) return
  const cutFields = cutTexts(fields)
  const allFields = skipped === 0 ? cutFields : { ...cutFields, skipped }
  const info = logs.format.transform({ level, message, part, ...allFields, [levelKey]: level }, logs.format.options)
  if (typeof info === 'object') logs.stream.write(`${String(info[lineKey])}\n`)
}
