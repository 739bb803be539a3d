/** Logs that tests read. */
import assert from 'node:assert/strict'
import { Writable } from 'node:stream'
import { createSilentLogs } from '@lynxcourse/daemon'
import type { Logs } from '@lynxcourse/daemon'

export type LogLine = Record<string, unknown>

/** Logs that keep the fields of all lines from `info` on. */
export function createKeptLogs (): { logs: Logs, lines: LogLine[] } {
  const lines: LogLine[] = []
  const stream = new Writable({ decodeStrings: false, write: (_line, _encoding, done) => done() })
  const format = { transform: (info: LogLine) => { lines.push(info); return false }, options: {} } as unknown as Logs['format']
  return { logs: { ...createSilentLogs(), stream, format, level: 'info' }, lines }
}

/** Returns the first line with a message, and an id if one is given. */
export function findLine (lines: readonly LogLine[], message: string, id?: string): LogLine {
  const line = lines.find(line => line.message === message && (id === undefined || line.id === id))
  assert.ok(line !== undefined, `${message} ${id ?? ''}: ${JSON.stringify(lines.map(line => line.message))}`)
  return line
}
