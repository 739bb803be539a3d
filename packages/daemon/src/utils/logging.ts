/** Logs: winston, one fixed prefix for each part, short sentences, fields after them. */
import { Writable } from 'node:stream'
import winston from 'winston'
import { getCurrentTime } from './clock.js'
import { takeLineToken } from './lineBudget.js'
import type { LineBudget } from './lineBudget.js'
import { openLogStream } from './logStream.js'

/** Parts that log, by their prefix. */
export type LogPart = 'agree' | 'announce' | 'claim' | 'daemon' | 'drain' | 'limit' | 'lookup' | 'member' | 'route' | 'rpc' | 'shift' | 'sync'

export type LogLevel = 'error' | 'warn' | 'info' | 'debug'

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

const ranks: Record<LogLevel, number> = { error: 0, warn: 1, info: 2, debug: 3 }

/** Where all parts log to. */
export interface Logs {
  readonly format: winston.Logform.Format
  readonly stream: Writable
  readonly level: LogLevel
  readonly parts: Readonly<Record<string, LogLevel>>
  readonly budget: LineBudget
}

/** How to log. */
export interface LogSettings {
  readonly format: 'text' | 'json'
  readonly level: LogLevel
  /** Levels of single parts, by their prefix. */
  readonly parts: Readonly<Record<string, LogLevel>>
}

/** Keys under which winston's formats keep the level and the finished line. */
const levelKey = Symbol.for('level')
const lineKey = Symbol.for('message')

function textOf (info: winston.Logform.TransformableInfo): string {
  const { level, message, timestamp, part, ...fields } = info
  const pairs = Object.entries(fields).filter(([, value]) => value !== undefined)
  const tail = pairs.map(([key, value]) => ` ${key}=${String(value)}`).join('')
  return `${String(timestamp)} ${level} [${String(part)}] ${String(message)}${tail}`
}

/** Opens the log on standard output. */
export function openLogs (cfg: LogSettings): Logs {
  const { combine, timestamp, json, printf } = winston.format
  const format = cfg.format === 'json' ? combine(timestamp(), json()) : combine(timestamp(), printf(textOf))
  return { format, stream: openLogStream(), level: cfg.level, parts: cfg.parts, budget: new Map() }
}

/** Logs that go nowhere, for tests. */
export function createSilentLogs (): Logs {
  return { format: winston.format.simple(), stream: new Writable({ write: (_chunk, _encoding, done) => done() }), level: 'error', parts: {}, budget: new Map() }
}

/** Whether a part logs at a level; ask first where making the fields costs. */
export function isLogged (logs: Logs, part: LogPart, level: LogLevel): boolean {
  return ranks[level] <= ranks[logs.parts[part] ?? logs.level]
}

/**
 * Writes one line. Winston's formats make it; it goes to the stream directly, since the logger's own
 * chain of streams costs more than the rest of a routing decision.
 */
export function log (logs: Logs, part: LogPart, level: LogLevel, message: string, fields: LogFields = {}): void {
  if (!isLogged(logs, part, level)) return
  const skipped = takeLineToken(logs.budget, `${part} ${level}`, getCurrentTime())
  if (skipped === undefined) return
  const counted = skipped === 0 ? fields : { ...fields, skipped }
  const info = logs.format.transform({ level, message, part, ...counted, [levelKey]: level }, logs.format.options)
  if (typeof info === 'object') logs.stream.write(`${String(info[lineKey])}\n`)
}
