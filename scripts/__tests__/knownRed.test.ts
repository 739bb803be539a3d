/** Which runs of the tests pass over the list of those that are known to fail. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { judgeRun, readKnownRed } from '../support/knownRed.js'
import type { TestEnd } from '../support/knownRed.js'

const root = '/repository'
const source = 'packages/daemon/__tests__/one.test.ts'
const known = readKnownRed(`${source} | a caller left | npm test | sent twice | issue 1\n\n`)

function end (name: string, isPassed: boolean, file = 'one'): TestEnd {
  return { file: `${root}/packages/daemon/dist/__tests__/${file}.test.js`, name, isPassed }
}

test('a run passes over a listed test that fails, and names it', () => {
  assert.deepEqual(judgeRun(root, known, [end('a caller left', false), end('other', true)]),
    { isGreen: true, lines: [`known red, failed, as listed: ${source} | a caller left`] })
})

/** Guards against this failure: an entry outlives its fault and hides the next one. */
test('a listed test that passes is named', () => {
  assert.deepEqual(judgeRun(root, known, [end('a caller left', true)]),
    { isGreen: true, lines: [`known red, PASSED, though listed: ${source} | a caller left`] })
})

/** Guards against this failure: the list passes over more than the tests that it names. */
test('a run fails by a test of another name or file, and by a listed one that did not run', () => {
  assert.equal(judgeRun(root, known, [end('a caller left', false), end('other', false)]).isGreen, false)
  assert.equal(judgeRun(root, known, [end('a caller left', false), end('a caller left', false, 'two')]).isGreen, false)
  assert.equal(judgeRun(root, known, []).isGreen, false)
  assert.equal(judgeRun(root, readKnownRed(''), [end('a caller left', false)]).isGreen, false)
})

/** Guards against this failure: a run by hand that is known to fail can't be listed, as no run of the tests plays it. */
test('an entry of a run by hand is printed and not judged', () => {
  const list = readKnownRed('soak | seed 104 | npm run soak | late | issue 1')
  assert.deepEqual(judgeRun(root, list, [end('other', true)]), { isGreen: true, lines: ['known red, by hand: soak | seed 104'] })
})
