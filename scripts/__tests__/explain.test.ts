/** Tests how log lines are parsed and how their decisions are classified. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { classifyDecision } from '../explain/causes.js'
import type { Cause, SeenServers } from '../explain/causes.js'
import { readDecision } from '../explain/readDecision.js'
import { countRetries, readRetryLine } from '../explain/retries.js'
import { countByVersion } from '../explain/versions.js'

function line (fields: Record<string, unknown>): string {
  return `  12.5 entry-1 ${JSON.stringify({ timestamp: '2026-01-01T00:00:01.000Z', message: 'Sent.', route: 'r', object: '7', server: 's1', place: 'primary', outcome: '200', tookMs: 100, expectedMs: 90, waitMs: 0, ...fields })}`
}

function classifyLines (...lines: string[]): Array<Cause | undefined> {
  const seenServers: SeenServers = new Map()
  return lines.map(text => {
    const decision = readDecision(text)
    return decision === undefined ? undefined : classifyDecision(seenServers, decision)
  })
}

test('an object is cold on first use, at a new primary server and at a server other than the primary; afterwards it is warm', () => {
  assert.deepEqual(classifyLines(line({}), line({}), line({ server: 's2' }), line({ server: 's3', place: 'secondary' }), line({ server: 's2', tookMs: 200 })),
    ['cold: first touch', 'as expected', 'cold: placed anew', 'cold: beside its server', 'slower than expected'])
})

test('outcomes of sent requests and reasons of refusals are mapped to causes', () => {
  assert.deepEqual(classifyLines(line({}), line({ outcome: 'deadline' }), line({ outcome: 'deadline', server: 's2' }), line({ outcome: 'full' }), line({ outcome: 'unreached' })).slice(1),
    ['timeout', 'timeout under cold work', 'shed by its server', 'lost with its server'])
  const refused = (fields: Record<string, unknown>): string => line({ message: 'Refused.', ...fields })
  assert.deepEqual(classifyLines(refused({ reason: 'busy', underWay: 9, limit: 10 }), refused({ reason: 'busy', underWay: 2, limit: 10 }), refused({ reason: 'noTime' }), refused({ reason: 'noServer' }), refused({ reason: 'endsServers' })),
    ['refused: bound of the VM', 'refused: queues at servers', 'refused: no time left', 'refused: no server', 'refused: ended servers'])
})

test('refusals by key, rate and room of a team are told apart', () => {
  const refused = (fields: Record<string, unknown>): string => line({ message: 'Refused.', ...fields })
  const rejected = (reason: string): string => line({ message: 'Caller rejected.', reason })
  assert.deepEqual(classifyLines(refused({ reason: 'overRate' }), refused({ reason: 'noPermits' }), rejected('unknownKey'), rejected('unconfirmedState'), rejected('noCommonRegion')),
    ['refused: over the rate of its team', 'refused: no permits', 'rejected: unknown key', 'rejected: state not confirmed', 'rejected: no region'])
})

test('what servers ask for is told apart from full servers', () => {
  assert.deepEqual(classifyLines(line({ outcome: 'full', pausedNowMs: 2900 }), line({ outcome: 'withdrawn' }), line({ message: 'Refused.', reason: 'paused' })),
    ['turned away for a time', 'server closed before the send', 'refused: servers pause'])
})

test('lines with other messages and truncated lines are ignored', () => {
  assert.deepEqual(classifyLines('no json', line({ message: 'Started.' }), line({}).slice(0, 60)), [undefined, undefined, undefined])
})

test('sends are counted by the version of their servers, if lines name versions', () => {
  const count = (...lines: string[]): unknown[] => countByVersion(lines.flatMap(text => readDecision(text) ?? []))
  assert.deepEqual(count(line({})), [])
  const sends = [line({ version: 'v2', outcome: '500' }), line({ version: 'v2', outcome: 'deadline' }), line({ version: 'v2', outcome: 'full' }), line({ version: 'v1' }), line({ message: 'Refused.', version: 'v2' })]
  assert.deepEqual(count(...sends), [{ service: '', version: 'v1', sends: 1, failed: 0, medianMs: 100 }, { service: '', version: 'v2', sends: 3, failed: 2, medianMs: 100 }])
})

test('lines on the retry budget are added up by service and VM', () => {
  const createLine = (vm: string, sent: string | undefined, denied?: string): string => `edge-1 ${JSON.stringify({ message: 'Retry budget.', service: 'desk', vm, requests: 40, sent, denied, budgetVms: 11 })}`
  const lines = [createLine('b', 'full 2'), createLine('a', 'full 3, failed 1', 'full 4'), createLine('a', undefined, 'lost 2'), '{"message":"Retry budget.","service"'].flatMap(line => readRetryLine(line) ?? [])
  assert.deepEqual(countRetries(lines), [
    { service: 'desk', vm: 'a', requests: 80, sent: '4 (full 3, failed 1)', denied: '6 (full 4, lost 2)', vms: '11' },
    { service: 'desk', vm: 'b', requests: 40, sent: '2 (full 2)', denied: '0', vms: '11' }
  ])
})
