/** Judges a run of the tests by the list of those that are known to fail. */
import { relative } from 'node:path'

/** Tests that are known to fail: a line each, its parts divided by this; the first two name its file and itself. */
const divider = ' | '

/** One test that passed or failed. */
export interface TestEnd {
  readonly file: string
  readonly name: string
  readonly isPassed: boolean
}

export interface Verdict {
  readonly isGreen: boolean
  readonly lines: readonly string[]
}

/** Names a test by its source. */
export function testKey (root: string, file: string, name: string): string {
  return [relative(root, file).replace('dist/', '').replace(/\.js$/, '.ts'), name].join(divider)
}

/** What the list holds. */
export interface KnownRed {
  readonly tests: ReadonlySet<string>
  /** Runs by hand that are known to fail; a run of the tests prints them and judges none. */
  readonly byHand: readonly string[]
}

const testFileEnd = '.test.ts'

/** Reads the list; an entry whose first part is no file of tests is of a run by hand. */
export function readKnownRed (text: string): KnownRed {
  const keys = text.split('\n').filter(line => line.trim() !== '').map(line => line.split(divider).slice(0, 2).join(divider))
  const isTest = (key: string): boolean => key.split(divider)[0]?.endsWith(testFileEnd) === true
  return { tests: new Set(keys.filter(isTest)), byHand: keys.filter(key => !isTest(key)) }
}

/** Green if no other test failed than those in the list, and each of these ran; each of them is named, also one that passed. */
export function judgeRun (root: string, { tests, byHand }: KnownRed, ends: readonly TestEnd[]): Verdict {
  const passed = new Set<string>()
  const failed = new Set<string>()
  for (const { file, name, isPassed } of ends) (isPassed ? passed : failed).add(testKey(root, file, name))
  const unexpected = [...failed].filter(key => !tests.has(key))
  const missing = [...tests].filter(key => !failed.has(key) && !passed.has(key))
  const stateOf = (key: string): string => failed.has(key) ? 'failed, as listed' : passed.has(key) ? 'PASSED, though listed' : 'NOT RUN, though listed'
  return {
    isGreen: ends.length > 0 && unexpected.length === 0 && missing.length === 0,
    lines: [
      ...[...tests].map(key => `known red, ${stateOf(key)}: ${key}`),
      ...byHand.map(key => `known red, by hand: ${key}`),
      ...unexpected.map(key => `not known red, failed: ${key}`)
    ]
  }
}
