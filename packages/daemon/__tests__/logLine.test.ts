/** Tests the JSON form of log lines, from which decisions are explained. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Writable } from 'node:stream'
import { log, openLogs } from '@lynxcourse/daemon'

/** Guards against this failure: a field of a decision is missing from its line, or a line can't be parsed. */
test('a line is one JSON object with the level, part, sentence, time and all defined fields', () => {
  const lines: string[] = []
  const stream = new Writable({ decodeStrings: false, write: (line: string, _, done) => { lines.push(line); done() } })
  const logs = { ...openLogs({ format: 'json', level: 'info', parts: {} }), stream }
  log(logs, 'route', 'info', 'Sent.', { id: 'r"1\n', cold: false, waitMs: 0.5, serverLimit: undefined, place: 'primary' })
  assert.equal(lines.length, 1)
  const [line] = lines as [string]
  assert.match(line, /^[^\n]+\n$/)
  const { timestamp, ...others } = JSON.parse(line) as Record<string, unknown>
  assert.deepEqual(others, { level: 'info', part: 'route', message: 'Sent.', id: 'r"1\n', cold: false, waitMs: 0.5, place: 'primary' })
  assert.match(String(timestamp), /^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z$/)
})

/** Guards against this failure: clients that send long paths fill the log and its memory. */
test('a long text is cut, and the rest of its line is whole', () => {
  const lines: string[] = []
  const stream = new Writable({ decodeStrings: false, write: (line: string, _, done) => { lines.push(line); done() } })
  const logs = { ...openLogs({ format: 'json', level: 'info', parts: {} }), stream }
  log(logs, 'route', 'info', 'No route.', { path: `/${'p'.repeat(60_000)}`, id: 'r1' })
  const { path, id } = JSON.parse(lines[0] ?? '') as Record<string, string>
  assert.equal(path, `/${'p'.repeat(499)}...`)
  assert.equal(id, 'r1')
})
