/** Servers that turn a VM away with a time for which they want nothing from it. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { countStrayRequests, maxStrayRequests, startRestingFleet } from './support/restingServers.js'
import { sendForMs } from './support/servingFleet.js'

/** Guards against a server that gets its usual load from a VM although it asked the VM for rest. */
test('a server that turns a VM away with Retry-After gets nothing from it for so long, and other servers take the rest', async () => {
  await using fleet = await startRestingFleet(2, 3)
  const { fixture, servers: [resting] } = fleet
  assert.ok(resting !== undefined)
  resting.refuse = entry => entry === '0' ? '2' : undefined
  const responses = await sendForMs(fixture, [0, 1], 90, 5000)
  assert.ok(resting.refusals.length > 0)
  assert.ok(countStrayRequests(resting) <= maxStrayRequests, `${countStrayRequests(resting)} requests`)
  assert.equal(responses.filter(({ status }) => status !== 200).length, 0, 'the other servers have room for all')
})
