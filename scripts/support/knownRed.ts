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

/** Reads the list. */
export function readKnownRed (text: string): Set<string> {
  const lines = text.split('\n').filter(line => line.trim() !== '')
  return new Set(lines.map(line => line.split(divider).slice(0, 2).join(divider)))
}

/** Green if no other test failed than those in the list, and each of these ran; each of them is named, also one that passed. */
export function judgeRun (root: string, known: ReadonlySet<string>, ends: readonly TestEnd[]): Verdict {
  const passed = new Set<string>()
  const failed = new Set<string>()
  for (const { file, name, isPassed } of ends) (isPassed ? passed : failed).add(testKey(root, file, name))
  const unexpected = [...failed].filter(key => !known.has(key))
  const missing = [...known].filter(key => !failed.has(key) && !passed.has(key))
  const stateOf = (key: string): string => failed.has(key) ? 'failed, as listed' : passed.has(key) ? 'PASSED, though listed' : 'NOT RUN, though listed'
  return {
    isGreen: unexpected.length === 0 && missing.length === 0,
    lines: [
      ...[...known].map(key => `known red, ${stateOf(key)}: ${key}`),
      ...unexpected.map(key => `not known red, failed: ${key}`)
    ]
  }
}
