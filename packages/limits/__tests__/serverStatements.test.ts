/** What answers of backend servers say about the servers. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createServerNotice, isClosedToRequests, noStatements, parseStatements, recordStatements } from '@lynxcourse/limits'
import type { LeavingFlag, RequestedPause, ServerStatements, StatementHeaders } from '@lynxcourse/limits'

const noHeaders: StatementHeaders = { limit: undefined, leaving: undefined, retryAfter: undefined, date: undefined }

function parsePause (retryAfter: StatementHeaders['retryAfter'], status = 503, date?: string): RequestedPause {
  return parseStatements(status, { ...noHeaders, retryAfter, date }).pause
}

function parseLeaving (leaving: StatementHeaders['leaving'], status = 200): LeavingFlag {
  return parseStatements(status, { ...noHeaders, leaving }).leaving
}

function pause (forMs: number): ServerStatements {
  return { ...noStatements, pause: { type: 'paused', forMs } }
}

test('a refusal asks for seconds, which may have a fraction, or for a time by the server\'s own clock', () => {
  for (const [text, forMs] of [['3', 3000], ['0.25', 250], [' 1.5 ', 1500], ['.5', 500], ['0', 0]] as const) {
    assert.deepEqual(parsePause(text), { type: 'paused', forMs }, text)
  }
  assert.deepEqual(parsePause('Thu, 03 Dec 2026 10:00:04 GMT', 503, 'Thu, 03 Dec 2026 10:00:00 GMT'), { type: 'paused', forMs: 4000 })
  assert.deepEqual(parsePause('Thu, 03 Dec 2026 09:00:00 GMT', 503, 'Thu, 03 Dec 2026 10:00:00 GMT'), { type: 'paused', forMs: 0 })
})

test('of several times in one refusal the longest counts, and none is longer than an hour', () => {
  assert.deepEqual(parsePause(['1', '3']), { type: 'paused', forMs: 3000 })
  assert.deepEqual(parsePause('3, 1'), { type: 'paused', forMs: 3000 })
  assert.deepEqual(parsePause(['soon', '2']), { type: 'paused', forMs: 2000 })
  assert.deepEqual(parsePause('9'.repeat(400)), { type: 'paused', forMs: 3_600_000 })
})

/** Guards against a sound server that is taken out of use by a header that no one can read, and against log lines without a bound. */
test('other values are unreadable, and are not logged in full', () => {
  for (const text of ['', '-1', 'soon', '1e3', 'Infinity', '0x10', 'Thu, 03 Dec 2026 10:00:04 GMT']) assert.equal(parsePause(text).type, 'unreadable', text)
  for (const text of ['yes please', '2', '-1']) assert.equal(parseLeaving(text).type, 'unreadable', text)
  const parsed = parsePause('x'.repeat(1000))
  assert.ok(parsed.type === 'unreadable' && parsed.text.length < 100)
})

/** Guards against a server that is left alone because of a time meant for its caller. */
test('only a 503 asks for a pause', () => {
  for (const status of [200, 301, 429, 500]) assert.deepEqual(parsePause('3', status), { type: 'none' }, `${status}`)
  assert.deepEqual(parsePause(undefined), { type: 'none' })
})

test('a server leaves if any value of the header says so, whatever the status', () => {
  for (const value of ['1', ' 1 ', '?1', 'true', '0, 1', ['0', '1']]) assert.deepEqual(parseLeaving(value, 503), { type: 'leaving' }, `${value.toString()}`)
  for (const value of [undefined, '0', 'false', '']) assert.deepEqual(parseLeaving(value), { type: 'none' }, `${value}`)
})

/** Guards against a long pause that a shorter one, asked for later, cuts off. */
test('of two pauses the one that ends later counts', () => {
  const notice = createServerNotice()
  assert.equal(recordStatements(notice, pause(3000), 1000).length, 1)
  assert.deepEqual(recordStatements(notice, pause(500), 1500), [])
  assert.ok(isClosedToRequests(notice, 3999) && !isClosedToRequests(notice, 4000))
  assert.deepEqual(recordStatements(notice, pause(3000), 2000), [{ type: 'paused', forMs: 3000 }])
  assert.ok(isClosedToRequests(notice, 4999) && !isClosedToRequests(notice, 5000))
})

test('a pause of no time and unreadable statements change nothing', () => {
  const notice = createServerNotice()
  assert.deepEqual(recordStatements(notice, pause(0), 1000), [])
  const changes = recordStatements(notice, { ...noStatements, pause: { type: 'unreadable', text: 'x' }, leaving: { type: 'unreadable', text: 'y' } }, 1000)
  assert.deepEqual(changes.map(change => change.type), ['unreadable', 'unreadable'])
  assert.ok(!isClosedToRequests(notice, 1000) && !notice.isLeaving)
})

/** Guards against a server that counts as staying again because of an answer that it wrote before it left. */
test('a leaving server stays so after an answer without the header', () => {
  const notice = createServerNotice()
  assert.deepEqual(recordStatements(notice, { ...noStatements, leaving: { type: 'leaving' } }, 1000), [{ type: 'leaving' }])
  assert.deepEqual(recordStatements(notice, noStatements, 1100), [])
  assert.ok(notice.isLeaving)
})
