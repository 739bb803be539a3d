/** The signals to stop, at any time in the life of a VM. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { test } from 'node:test'
import { listenForStop } from '@lynxcourse/daemon'

async function sendSignal (signal: NodeJS.Signals): Promise<void> {
  const arrived = once(process, signal)
  process.kill(process.pid, signal)
  await arrived
}

// Guards against a process that ends with requests in progress because it is told to stop while it starts, or twice.
test('a stop signal that arrives during the start is remembered, a second SIGTERM is reported, and a second SIGINT ends the process', async () => {
  // Listeners of signals don't keep the process alive.
  const keepAlive = setInterval(() => undefined, 1000)
  let endCount = 0
  const stopSignal = listenForStop(() => { endCount += 1 })
  const repeated: string[] = []
  await sendSignal('SIGTERM')
  stopSignal.onRepeat = signal => { repeated.push(signal) }
  assert.equal(await stopSignal.received, 'SIGTERM')
  await sendSignal('SIGTERM')
  await sendSignal('SIGINT')
  assert.deepEqual([repeated, endCount], [['SIGTERM', 'SIGINT'], 0])
  await sendSignal('SIGINT')
  assert.deepEqual([repeated, endCount], [['SIGTERM', 'SIGINT'], 1])
  clearInterval(keepAlive)
})
