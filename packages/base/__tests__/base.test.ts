import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import {
  compileChart, isFinal, isLynxError, getIssueTime, loadChart, createRandom, createRequestId, nextState, findOwnerByHash,
  parseChart, parseJson, parseRequestId, rankByHash
} from '@lynxcourse/base'
import type { ChartName } from '@lynxcourse/base'

const seed = 7
const propertyParameters = { seed, numRuns: 200 }
console.log(`seed ${seed}`)

const chartNames: ChartName[] = ['agreementRole', 'attempt', 'claim', 'connection', 'crashingRequest', 'drain', 'server', 'shift', 'vm']

test('all charts are valid, and no transition leaves a final state', () => {
  for (const name of chartNames) {
    const chart = loadChart(name)
    assert.ok(chart.states.has(chart.initial))
    for (const final of chart.finalStates) assert.equal(chart.transitions.get(final)?.size, 0)
  }
})

test('a chart is compiled into a transition table', () => {
  const chart = compileChart(parseChart('id: c\nabout: t\ninitial: a\nstates:\n  a: { on: { go: b } }\n  b: { final: true }\n', 'c.yaml'))
  assert.equal(nextState(chart, 'a', 'go'), 'b')
  assert.ok(isFinal(chart, 'b'))
  assert.throws(() => nextState(chart, 'b', 'go'), err => isLynxError(err, 'badChart'))
})

test('an invalid chart is rejected with the file and the path of the invalid value', () => {
  const bad = 'id: c\nabout: t\ninitial: a\nstates:\n  a: { on: { go: nowhere } }\n'
  assert.throws(() => parseChart(bad, 'c.yaml'), /c\.yaml: states\.a\.on\.go: no state 'nowhere'/)
})

test('parsing an arbitrary text returns a chart or throws badChart', () => {
  fc.assert(fc.property(fc.string(), text => {
    try {
      parseChart(text, 'x.yaml')
    } catch (err) {
      assert.ok(isLynxError(err, 'badChart'))
    }
  }), propertyParameters)
})

test('a request id contains its issue time', () => {
  fc.assert(fc.property(fc.integer({ min: 0, max: 2 ** 47 }), fc.integer(), (time, source) => {
    const id = parseRequestId(createRequestId(time, createRandom(source)).toUpperCase())
    assert.equal(getIssueTime(id), time)
  }), propertyParameters)
})

test('texts other than UUID v7 are rejected as request ids', () => {
  for (const text of ['', 'x', '01a237ff-662a-489a-bde3-565fc9a5994f', '01a237ff-662a-789a-7de3-565fc9a5994f']) {
    assert.throws(() => parseRequestId(text), err => isLynxError(err, 'badRequestId') && err.field === 'Idempotency-Key')
  }
})

/** Guards against secrets in error messages and logs, which a runtime's own message would quote. */
test('the error for invalid JSON quotes none of its content', () => {
  for (const text of ['{"keys":["secret"x', '{"keys":["secret', '["a", secret]', 'secret', '{"secret":}']) {
    assert.throws(() => parseJson(text), err => err instanceof SyntaxError && !/secret/.test(String(err)) && err.message.startsWith('not valid JSON'))
  }
})

test('the loss of a candidate moves only the keys that it owned', () => {
  fc.assert(fc.property(fc.uniqueArray(fc.stringMatching(/^[a-z]{1,8}$/), { minLength: 2, maxLength: 12 }), fc.string(), (candidates, key) => {
    const ranked = rankByHash(key, candidates)
    assert.equal(findOwnerByHash(key, candidates), ranked[0])
    const lost = candidates[0] as string
    const remaining = candidates.filter(candidate => candidate !== lost)
    assert.equal(findOwnerByHash(key, remaining), ranked.find(candidate => candidate !== lost))
  }), propertyParameters)
})
