/** What is read out of log lines, and what is made of it. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { classifyDecision } from '../explain/causes.js'
import type { Cause, SeenServers } from '../explain/causes.js'
import { readDecision } from '../explain/readDecision.js'

function line (fields: Record<string, unknown>): string {
  return `  12.5 entry-1 ${JSON.stringify({ timestamp: '2026-01-01T00:00:01.000Z', message: 'Sent.', route: 'r', object: '7', server: 's1', place: 'primary', outcome: '200', tookMs: 100, expectedMs: 90, waitMs: 0, ...fields })}`
}

function causesOf (...lines: string[]): Array<Cause | undefined> {
  const holders: SeenServers = new Map()
  return lines.map(text => {
    const decision = readDecision(text)
    return decision === undefined ? undefined : classifyDecision(holders, decision)
  })
}

test('an object is cold at its first touch, where it is placed anew, and beside its server; then it is not', () => {
  assert.deepEqual(causesOf(line({}), line({}), line({ server: 's2' }), line({ server: 's3', place: 'secondary' }), line({ server: 's2', tookMs: 200 })),
    ['cold: first touch', 'as expected', 'cold: placed anew', 'cold: beside its server', 'slower than expected'])
})

test('ends of sends and refusals tell their causes', () => {
  assert.deepEqual(causesOf(line({}), line({ outcome: 'deadline' }), line({ outcome: 'deadline', server: 's2' }), line({ outcome: 'full' }), line({ outcome: 'unreached' })).slice(1),
    ['timeout', 'timeout under cold work', 'shed by its server', 'lost with its server'])
  const refused = (fields: Record<string, unknown>): string => line({ message: 'Refused.', ...fields })
  assert.deepEqual(causesOf(refused({ reason: 'busy', underWay: 9, limit: 10 }), refused({ reason: 'busy', underWay: 2, limit: 10 }), refused({ reason: 'noTime' }), refused({ reason: 'noServer' })),
    ['refused: bound of the VM', 'refused: queues at servers', 'refused: no time left', 'refused: no server'])
})

test('lines of other decisions, and such that were cut, are passed over', () => {
  assert.deepEqual(causesOf('no json', line({ message: 'Started.' }), line({}).slice(0, 60)), [undefined, undefined, undefined])
})
