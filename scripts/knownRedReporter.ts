/** Test reporter of `npm test`: tolerates failures of the tests listed in `KNOWN-RED.txt`, and prints their results. */
import { existsSync, readFileSync } from 'node:fs'
import type { TestEvent } from 'node:test/reporters'
import { checkRun, parseKnownFailures, selectFolders } from './support/knownFailures.js'
import type { TestResult } from './support/knownFailures.js'

const listFile = 'KNOWN-RED.txt'

type TestEndEvent = Extract<TestEvent, { type: 'test:pass' | 'test:fail' }>

/**
 * Returns whether a result counts. A test that fails only because of its subtests doesn't, as each subtest has
 * its own result; skipped tests and failures of tests marked `todo` don't count either.
 */
function isCounted ({ type, data }: TestEndEvent): boolean {
  if (type === 'test:pass') return data.skip === undefined
  const { error } = data.details
  const isBySubtests = (error as { failureType?: string }).failureType === 'subtestsFailed'
  return !isBySubtests && (data.todo === undefined || data.todo === false)
}

function toTestResult ({ type, data }: TestEndEvent): TestResult {
  return { file: data.file ?? '', name: data.name, isPassed: type === 'test:pass' }
}

export default async function * knownRedReporter (events: AsyncIterable<TestEvent>): AsyncGenerator<string> {
  const knownFailures = selectFolders(parseKnownFailures(existsSync(listFile) ? readFileSync(listFile, 'utf8') : ''), process.argv.slice(1))
  const results: TestResult[] = []
  for await (const event of events) {
    if ((event.type === 'test:pass' || event.type === 'test:fail') && isCounted(event)) results.push(toTestResult(event))
  }
  const { isPassed, lines } = checkRun(process.cwd(), knownFailures, results)
  for (const line of lines) yield `${line}\n`
  process.exitCode = isPassed ? 0 : 1
}
