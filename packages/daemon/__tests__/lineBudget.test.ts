/** The line budgets of the log. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { linesPerSecond, takeLineToken } from '@lynxcourse/daemon'

test('lines over the budget are skipped, and the next line contains the number of skipped lines', () => {
  const budget = new Map()
  let written = 0
  for (let sent = 0; sent < 100_000; sent++) if (takeLineToken(budget, 'route warn', sent / 100) !== undefined) written += 1
  assert.ok(written <= linesPerSecond * 3 + 1, String(written))
  assert.equal(takeLineToken(budget, 'daemon info', 1000), 0, 'the budget of another part is not affected')
  const skipped = takeLineToken(budget, 'route warn', 3000) ?? 0
  assert.ok(skipped > 0 && skipped < 100_000)
  assert.equal(takeLineToken(budget, 'route warn', 3000), 0)
})
