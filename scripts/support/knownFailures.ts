/** Checks the results of a test run against the list of tests that are known to fail. */
import { relative } from 'node:path'

/** Separates the fields of a line of the list. The first two fields are the test's file and name. */
const fieldSeparator = ' | '

/** Result of one test. */
export interface TestResult {
  readonly file: string
  readonly name: string
  readonly isPassed: boolean
}

/** Whether the run passes, and the lines to print. */
export interface RunVerdict {
  readonly isPassed: boolean
  readonly lines: readonly string[]
}

/** Returns the key of a test in the list: its source file relative to `root`, and its name. */
export function getTestKey (root: string, file: string, name: string): string {
  return [relative(root, file).replace('dist/', '').replace(/\.js$/, '.ts'), name].join(fieldSeparator)
}

/** Parsed entries of the list. */
export interface KnownFailures {
  readonly tests: ReadonlySet<string>
  /** Manual runs that are known to fail. A test run prints them and doesn't check them. */
  readonly manualRuns: readonly string[]
}

const testFileSuffix = '.test.ts'

/** Parses the list. An entry whose first field is not a test file stands for a manual run. */
export function parseKnownFailures (text: string): KnownFailures {
  const keys = text.split('\n').filter(line => line.trim() !== '').map(line => line.split(fieldSeparator).slice(0, 2).join(fieldSeparator))
  const isTest = (key: string): boolean => key.split(fieldSeparator)[0]?.endsWith(testFileSuffix) === true
  return { tests: new Set(keys.filter(isTest)), manualRuns: keys.filter(key => !isTest(key)) }
}

/** Returns the entries whose tests a run of these folders contains: sources lie beside `dist`, in folders of the same names. */
export function selectFolders ({ tests, manualRuns }: KnownFailures, folders: readonly string[]): KnownFailures {
  const sources = folders.map(folder => folder.replace('dist/', ''))
  return { tests: new Set([...tests].filter(key => sources.some(folder => key.startsWith(folder)))), manualRuns }
}

/** Passes a run if only listed tests failed and every listed test ran. The lines name each listed test, also one that passed. */
export function checkRun (root: string, { tests, manualRuns }: KnownFailures, results: readonly TestResult[]): RunVerdict {
  const passed = new Set<string>()
  const failed = new Set<string>()
  for (const { file, name, isPassed } of results) (isPassed ? passed : failed).add(getTestKey(root, file, name))
  const unexpected = [...failed].filter(key => !tests.has(key))
  const missing = [...tests].filter(key => !failed.has(key) && !passed.has(key))
  const describeState = (key: string): string => failed.has(key) ? 'failed, as listed' : passed.has(key) ? 'PASSED, though listed' : 'NOT RUN, though listed'
  return {
    isPassed: results.length > 0 && unexpected.length === 0 && missing.length === 0,
    lines: [
      ...[...tests].map(key => `known red, ${describeState(key)}: ${key}`),
      ...manualRuns.map(key => `known red, by hand: ${key}`),
      ...unexpected.map(key => `not known red, failed: ${key}`)
    ]
  }
}
