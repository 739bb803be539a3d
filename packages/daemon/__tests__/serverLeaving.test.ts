/** Servers that say in their answers that they leave. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { countLateRequests, startRestingFleet } from './support/restingServers.js'
import { controlCount, sendForMs } from './support/servingFleet.js'

/** Guards against a server that gets requests until it is gone, because only its announcements can close it. */
test('a server whose answers say that it leaves gets no requests after the drain time, and other servers take them', async () => {
  await using fleet = await startRestingFleet(2, 2)
  const { fixture, servers: [leaving] } = fleet
  assert.ok(leaving !== undefined)
  leaving.leaving = '1'
  const responses = await sendForMs(fixture, [0, 1], 60, 4000)
  assert.equal(leaving.leftAt.size, 2)
  assert.equal(countLateRequests(leaving), 0)
  assert.equal(responses.filter(({ status }) => status !== 200).length, 0, 'the other server has room for all')
})

/** Guards against VMs that need a control VM to close a server. */
test('a server whose answers say that it leaves gets no requests from VMs that reach no control VM', async () => {
  await using fleet = await startRestingFleet(1, 2)
  const { fixture, servers: [leaving] } = fleet
  assert.ok(leaving !== undefined)
  for (let index = 0; index < controlCount; index++) {
    await fixture.daemons[index]?.[Symbol.asyncDispose]()
    fixture.daemons[index] = undefined
  }
  leaving.leaving = '1'
  const responses = await sendForMs(fixture, [0], 40, 4000)
  assert.equal(leaving.leftAt.size, 1)
  assert.equal(countLateRequests(leaving), 0)
  assert.ok(responses.every(({ status }) => status === 200))
})
