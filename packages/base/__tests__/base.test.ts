import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import {
  expandChart, isFinal, isLynxError, getIssueTime, loadChart, createRandom, createRequestId, nextState, findOwnerByHash,
  parseChart, parseRequestId, rankByHash
} from '@lynxcourse/base'
import type { ChartName } from '@lynxcourse/base'

const seed = 7
const run = { seed, numRuns: 200 }
console.log(`seed ${seed}`)

const names: ChartName[] = ['agreementRole', 'attempt', 'claim', 'connection', 'drain', 'server', 'shift', 'vm']

test('all shipped charts are sound', () => {
  for (const name of names) {
    const chart = loadChart(name)
    assert.ok(chart.states.has(chart.initial))
    for (const final of chart.finals) assert.equal(chart.table.get(final)?.size, 0)
  }
})

test('a chart is walked by xstate into a table', () => {
  const chart = expandChart(parseChart('id: c\nabout: t\ninitial: a\nstates:\n  a: { on: { go: b } }\n  b: { final: true }\n', 'c.yaml'))
  assert.equal(nextState(chart, 'a', 'go'), 'b')
  assert.ok(isFinal(chart, 'b'))
  assert.throws(() => nextState(chart, 'b', 'go'), err => isLynxError(err, 'badChart'))
})

test('a bad chart is refused with file and place', () => {
  const bad = 'id: c\nabout: t\ninitial: a\nstates:\n  a: { on: { go: nowhere } }\n'
  assert.throws(() => parseChart(bad, 'c.yaml'), /c\.yaml: states\.a\.on\.go: no state 'nowhere'/)
})

test('any text is a chart or a clear error', () => {
  fc.assert(fc.property(fc.string(), text => {
    try {
      parseChart(text, 'x.yaml')
    } catch (err) {
      assert.ok(isLynxError(err, 'badChart'))
    }
  }), run)
})

test('a request id gives back its issue time', () => {
  fc.assert(fc.property(fc.integer({ min: 0, max: 2 ** 47 }), fc.integer(), (time, source) => {
    const id = parseRequestId(createRequestId(time, createRandom(source)).toUpperCase())
    assert.equal(getIssueTime(id), time)
  }), run)
})

test('other texts are no request ids', () => {
  for (const text of ['', 'x', '01a237ff-662a-489a-bde3-565fc9a5994f', '01a237ff-662a-789a-7de3-565fc9a5994f']) {
    assert.throws(() => parseRequestId(text), err => isLynxError(err, 'badRequestId') && err.field === 'Idempotency-Key')
  }
})

test('the loss of a place moves only what it held', () => {
  fc.assert(fc.property(fc.uniqueArray(fc.stringMatching(/^[a-z]{1,8}$/), { minLength: 2, maxLength: 12 }), fc.string(), (places, key) => {
    const ranked = rankByHash(key, places)
    assert.equal(findOwnerByHash(key, places), ranked[0])
    const lost = places[0] as string
    const left = places.filter(place => place !== lost)
    assert.equal(findOwnerByHash(key, left), ranked.find(place => place !== lost))
  }), run)
})
