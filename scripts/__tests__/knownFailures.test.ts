/** Checks which test runs pass, given the list of tests that are known to fail. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { checkRun, parseKnownFailures, selectFolders } from '../support/knownFailures.js'
import type { TestResult } from '../support/knownFailures.js'

const root = '/repository'
const source = 'packages/daemon/__tests__/one.test.ts'
const knownFailures = parseKnownFailures(`${source} | a caller left | npm test | sent twice | issue 1\n\n`)

function createResult (name: string, isPassed: boolean, file = 'one'): TestResult {
  return { file: `${root}/packages/daemon/dist/__tests__/${file}.test.js`, name, isPassed }
}

test('a run passes although a listed test fails, and prints the test', () => {
  assert.deepEqual(checkRun(root, knownFailures, [createResult('a caller left', false), createResult('other', true)]),
    { isPassed: true, lines: [`known red, failed, as listed: ${source} | a caller left`] })
})

/** Guards against this failure: an entry stays in the list after its fault is fixed and hides the next fault. */
test('a listed test that passes is printed', () => {
  assert.deepEqual(checkRun(root, knownFailures, [createResult('a caller left', true)]),
    { isPassed: true, lines: [`known red, PASSED, though listed: ${source} | a caller left`] })
})

/** Guards against this failure: the list excuses failures of tests that it doesn't name. */
test('a run fails if a test of another name or file fails, or if a listed test did not run', () => {
  assert.equal(checkRun(root, knownFailures, [createResult('a caller left', false), createResult('other', false)]).isPassed, false)
  assert.equal(checkRun(root, knownFailures, [createResult('a caller left', false), createResult('a caller left', false, 'two')]).isPassed, false)
  assert.equal(checkRun(root, knownFailures, []).isPassed, false)
  assert.equal(checkRun(root, parseKnownFailures(''), [createResult('a caller left', false)]).isPassed, false)
})

/** Guards against this failure: a manual run that is known to fail can't be listed, because no test run includes it. */
test('an entry for a manual run is printed and not checked', () => {
  const list = parseKnownFailures('soak | seed 104 | npm run soak | late | issue 1')
  assert.deepEqual(checkRun(root, list, [createResult('other', true)]), { isPassed: true, lines: ['known red, by hand: soak | seed 104'] })
})

/** Guards against this failure: a run of some folders fails because listed tests of other folders didn't run, or passes without its own. */
test('a run of some folders is checked against the listed tests of these folders', () => {
  const list = parseKnownFailures(`${source} | a caller left | npm test\nplatform/crowd/crowd.test.ts | idle | npm test`)
  const results = [createResult('a caller left', false)]
  assert.equal(checkRun(root, list, results).isPassed, false)
  assert.equal(checkRun(root, selectFolders(list, ['packages/', 'platform/dist/__tests__/']), results).isPassed, true)
  assert.equal(checkRun(root, selectFolders(list, ['platform/dist/crowd/']), results).isPassed, false)
})
