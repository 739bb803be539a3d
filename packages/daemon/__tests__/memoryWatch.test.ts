/** When a VM logs that its memory is short. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { isMemoryShort } from '@lynxcourse/daemon'
import { startFleetFixture, startVm } from './support/fleetFixture.js'
import { createKeptLogs, findLine } from './support/keptLogs.js'

const use = (heapBytes: number): Parameters<typeof isMemoryShort>[0] => ({ heapBytes, heapLimitBytes: 1000 })

test('memory is short from three quarters of the heap limit on, until clearly less is in use', () => {
  assert.equal(isMemoryShort(use(740), false), false)
  assert.equal(isMemoryShort(use(750), false), true)
  assert.equal(isMemoryShort(use(700), true), true)
  assert.equal(isMemoryShort(use(590), true), false)
})

test('a control VM that starts again logs the size of what it reads, and its build', async () => {
  const { logs, lines } = createKeptLogs()
  await using fixture = await startFleetFixture(0, { logs })
  await fixture.daemons[0]?.[Symbol.asyncDispose]()
  fixture.daemons[0] = undefined
  lines.length = 0
  const [settings] = fixture.settings
  assert.ok(settings !== undefined)
  fixture.daemons[0] = await startVm(settings, logs)
  const line = findLine(lines, 'Log read.')
  assert.ok(typeof line.logBytes === 'number' && typeof line.snapshotBytes === 'number' && typeof line.tookMs === 'number')
  assert.equal(findLine(lines, 'Started.').build, 'unbundled build')
})
