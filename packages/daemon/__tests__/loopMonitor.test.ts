/** What the watch of the event loop tells of a process that did not run for a while. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay, startLoopMonitor, getCurrentTime } from '@lynxcourse/daemon'

const stopMs = 800

/** Guards against logs in which a VM that was frozen looks like one that was cut off. */
test('a loop that stood still says so once it goes on', async () => {
  const stops: number[] = []
  const late: number[] = []
  await using monitor = startLoopMonitor(forMs => stops.push(forMs), lateMs => late.push(lateMs))
  await delay(0)
  const until = getCurrentTime() + stopMs
  while (getCurrentTime() < until) { /* the loop stands still */ }
  while (stops.length === 0) await delay(10)
  assert.ok(monitor.iterations.checkpointAt >= until)
  assert.ok((stops[0] as number) >= stopMs / 2, `${stops.join()}`)
  assert.equal(Math.max(...late), stops[0])
})
