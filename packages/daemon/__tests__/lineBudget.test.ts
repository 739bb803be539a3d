/** The line budgets of the log. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { linesPerSecond, takeLine } from '@lynxcourse/daemon'

test('lines over the budget are skipped, and the next line contains the number of skipped lines', () => {
  const budget = new Map()
  let written = 0
  for (let sent = 0; sent < 100_000; sent++) if (takeLine(budget, 'route warn', sent / 100) !== undefined) written += 1
  assert.ok(written <= linesPerSecond * 3 + 1, String(written))
  assert.equal(takeLine(budget, 'daemon info', 1000), 0, 'the budget of another part is not affected')
  const skipped = takeLine(budget, 'route warn', 3000) ?? 0
  assert.ok(skipped > 0 && skipped < 100_000)
  assert.equal(takeLine(budget, 'route warn', 3000), 0)
})
