/** Limits that backend servers name in their answers. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createServerLimit, parseNamedLimit, recordNamedLimit } from '@lynxcourse/limits'

test('a decimal number is a limit', () => {
  for (const [text, perSecond] of [['5.4', 5.4], ['0', 0], ['12', 12], [' 3 ', 3], ['+2', 2], ['.5', 0.5], ['7.', 7]] as const) {
    assert.deepEqual(parseNamedLimit(text), { type: 'limited', perSecond }, text)
  }
})

/** Guards against a limit that is lifted, or read as zero, because of a header that no one can read. */
test('other values are unreadable, and are not logged in full', () => {
  for (const text of ['', 'none', '-1', '1e3', '0x10', 'NaN', 'Infinity', '5/s', '5;w=1', '5,x', ',']) {
    assert.equal(parseNamedLimit(text).type, 'unreadable', text)
  }
  const named = parseNamedLimit('x'.repeat(1000))
  assert.ok(named.type === 'unreadable' && named.text.length < 100)
})

test('of several limits in one answer, the lowest counts', () => {
  assert.deepEqual(parseNamedLimit(['9', '4']), { type: 'limited', perSecond: 4 })
  assert.deepEqual(parseNamedLimit('4, 9'), { type: 'limited', perSecond: 4 })
})

test('an answer without the header names no limit', () => {
  assert.deepEqual(parseNamedLimit(undefined), { type: 'none' })
})

test('a limit is in force until an answer lacks it, and an unreadable one changes nothing', () => {
  const limit = createServerLimit()
  assert.deepEqual(recordNamedLimit(limit, { type: 'limited', perSecond: 5 }, 100), { type: 'named', perSecond: 5, previous: undefined })
  assert.equal(recordNamedLimit(limit, { type: 'limited', perSecond: 5 }, 200), undefined)
  assert.equal(recordNamedLimit(limit, { type: 'unreadable', text: 'x' }, 300), undefined)
  assert.equal(limit.perSecond, 5)
  assert.deepEqual(recordNamedLimit(limit, { type: 'none' }, 400), { type: 'ended', previous: 5 })
  assert.equal(limit.perSecond, undefined)
})
