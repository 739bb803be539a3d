/** The signal to read the settings again while a VM starts. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { test } from 'node:test'
import { listenForReload } from '@lynxcourse/daemon'

// Guards against a process that ends, or keeps its old settings, because its settings change while it starts.
test('a reload signal that arrives during the start leads to one reload after it, and later ones to one each', async () => {
  // Listeners of signals don't keep the process alive.
  const keepAlive = setInterval(() => undefined, 1000)
  const signal = listenForReload()
  let reloads = 0
  const sendSignal = async (): Promise<void> => {
    const arrived = once(process, 'SIGHUP')
    process.kill(process.pid, 'SIGHUP')
    await arrived
  }
  await sendSignal()
  await sendSignal()
  signal.handle(() => { reloads += 1 })
  assert.equal(reloads, 1)
  await sendSignal()
  assert.equal(reloads, 2)
  clearInterval(keepAlive)
})
