/** The end of a process by a second signal. */
import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { test } from 'node:test'

const script = `
import { endBySignal, log, openLogs } from ${JSON.stringify(new URL('../src/daemon.js', import.meta.url).href)}
const logs = openLogs({ format: 'json', level: 'info', parts: {} })
process.once('SIGTERM', () => {
  log(logs, 'daemon', 'warn', 'Last line.')
  endBySignal('SIGTERM')
})
setInterval(() => undefined, 1000)
process.stdout.write('ready\\n')
`

/** Guards against a second signal whose log lines are lost, or after which the process no longer ends by the signal. */
test('a process that ends by a signal writes its log before', async () => {
  const child = spawn(process.execPath, ['--input-type=module', '-e', script], { stdio: ['ignore', 'pipe', 'inherit'] })
  let output = ''
  child.stdout.on('data', (chunk: Buffer) => { output += chunk.toString() })
  await once(child.stdout, 'data')
  child.kill('SIGTERM')
  const [code, signal] = await once(child, 'close') as [number | null, string | null]
  assert.deepEqual([code, signal], [null, 'SIGTERM'])
  assert.match(output, /"message":"Last line\."/)
})
