/** The log's budget of lines. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { linesPerSecond, takeLineToken } from '@lynxcourse/daemon'

test('a flood of lines is cut to the budget, and the next line says how many are missing', () => {
  const budget = new Map()
  let written = 0
  for (let sent = 0; sent < 100_000; sent++) if (takeLineToken(budget, 'route warn', sent / 100) !== undefined) written += 1
  assert.ok(written <= linesPerSecond * 3 + 1, String(written))
  assert.equal(takeLineToken(budget, 'daemon info', 1000), 0, 'other parts are not held back')
  const skipped = takeLineToken(budget, 'route warn', 3000) ?? 0
  assert.ok(skipped > 0 && skipped < 100_000)
  assert.equal(takeLineToken(budget, 'route warn', 3000), 0)
})
