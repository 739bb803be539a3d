/** Logs: winston, one fixed prefix for each part, short sentences, fields after them. */
import winston from 'winston'
import { openLogStream } from './logStream.js'
import type { Settings } from '../types/settings.js'

/** Parts that log, by their prefix. */
export type LogPart = 'agree' | 'announce' | 'claim' | 'daemon' | 'drain' | 'limit' | 'lookup' | 'member' | 'route' | 'rpc' | 'shift' | 'sync'

export type LogLevel = 'error' | 'warn' | 'info' | 'debug'

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

const ranks: Record<LogLevel, number> = { error: 0, warn: 1, info: 2, debug: 3 }

/** Where all parts log to. */
export interface Logs {
  readonly logger: winston.Logger
  readonly level: LogLevel
  readonly parts: Readonly<Record<string, LogLevel>>
}

function textOf (info: winston.Logform.TransformableInfo): string {
  const { level, message, timestamp, part, ...fields } = info
  const pairs = Object.entries(fields).filter(([, value]) => value !== undefined)
  const tail = pairs.map(([key, value]) => ` ${key}=${String(value)}`).join('')
  return `${String(timestamp)} ${level} [${String(part)}] ${String(message)}${tail}`
}

/** Opens the log on standard output. */
export function openLogs (cfg: Settings['log']): Logs {
  const { combine, timestamp, json, printf } = winston.format
  const format = cfg.format === 'json' ? combine(timestamp(), json()) : combine(timestamp(), printf(textOf))
  const logger = winston.createLogger({ level: 'debug', format, transports: [new winston.transports.Stream({ stream: openLogStream() })] })
  return { logger, level: cfg.level, parts: cfg.parts as Record<string, LogLevel> }
}

/** Logs that go nowhere, for tests. */
export function silentLogs (): Logs {
  return { logger: winston.createLogger({ silent: true, transports: [new winston.transports.Console()] }), level: 'error', parts: {} }
}

/** Whether a part logs at a level; ask first where making the fields costs. */
export function isLogged (logs: Logs, part: LogPart, level: LogLevel): boolean {
  return ranks[level] <= ranks[logs.parts[part] ?? logs.level]
}

/** Writes one line. */
export function log (logs: Logs, part: LogPart, level: LogLevel, message: string, fields: LogFields = {}): void {
  if (isLogged(logs, part, level)) logs.logger.log({ level, message, part, ...fields })
}
