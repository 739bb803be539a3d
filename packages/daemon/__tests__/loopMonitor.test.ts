/** Detection of a blocked event loop. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay, startLoopMonitor, getCurrentTime } from '@lynxcourse/daemon'

const blockedMs = 800

/** Guards against logs in which a VM whose process was stopped can't be distinguished from a VM without network. */
test('a blocked event loop is reported as soon as it runs again', async () => {
  const blocks: number[] = []
  const lateness: number[] = []
  await using monitor = startLoopMonitor(forMs => blocks.push(forMs), lateMs => lateness.push(lateMs))
  await delay(0)
  const blockedUntil = getCurrentTime() + blockedMs
  while (getCurrentTime() < blockedUntil) { /* blocks the loop */ }
  while (blocks.length === 0) await delay(10)
  assert.ok(monitor.iterations.checkpointAt >= blockedUntil)
  assert.ok((blocks[0] as number) >= blockedMs / 2, `${blocks.join()}`)
  assert.equal(Math.max(...lateness), blocks[0])
})
