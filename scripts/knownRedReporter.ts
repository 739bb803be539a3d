/** Reporter of `npm test`: has the run pass over the tests in `KNOWN-RED.txt`, and prints them. */
import { existsSync, readFileSync } from 'node:fs'
import type { TestEvent } from 'node:test/reporters'
import { judgeRun, readKnownRed } from './support/knownRed.js'
import type { TestEnd } from './support/knownRed.js'

const listFile = 'KNOWN-RED.txt'

type Ended = Extract<TestEvent, { type: 'test:pass' | 'test:fail' }>

/** A test fails with its subtests, which are judged themselves; one that is to be done does not fail the run. */
function isJudged ({ type, data }: Ended): boolean {
  if (type === 'test:pass') return data.skip === undefined
  const { error } = data.details
  const isBySubtests = (error as { failureType?: string }).failureType === 'subtestsFailed'
  return !isBySubtests && (data.todo === undefined || data.todo === false)
}

function endOf ({ type, data }: Ended): TestEnd {
  return { file: data.file ?? '', name: data.name, isPassed: type === 'test:pass' }
}

export default async function * knownRedReporter (events: AsyncIterable<TestEvent>): AsyncGenerator<string> {
  const known = readKnownRed(existsSync(listFile) ? readFileSync(listFile, 'utf8') : '')
  const ends: TestEnd[] = []
  for await (const event of events) {
    if ((event.type === 'test:pass' || event.type === 'test:fail') && isJudged(event)) ends.push(endOf(event))
  }
  const { isGreen, lines } = judgeRun(process.cwd(), known, ends)
  for (const line of lines) yield `${line}\n`
  process.exitCode = isGreen ? 0 : 1
}
