/** When a kept connection may carry a request. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { loadChart } from '@lynxcourse/base'
import { createConnectionState, defaultConnections, isSilent, isReusable, recordProgress, applyConnectionEvent } from '@lynxcourse/routing'
import { createIdleConnectionHistory, getMaxIdleMs, recordResetAfterIdle, recordUnansweredAfterIdle } from '@lynxcourse/placement'

test('an idle connection that was quiet is not used, sooner for what must not repeat', () => {
  // Guards against this failure: a request hangs until its deadline.
  const connections = loadChart('connection')
  const connection = createConnectionState(connections, 0)
  const { staleMs, silentMs } = defaultConnections
  assert.equal(isReusable(defaultConnections, connection, true, staleMs / 2 - 1), true)
  assert.equal(isReusable(defaultConnections, connection, true, staleMs / 2), false)
  assert.equal(isReusable(defaultConnections, connection, false, staleMs / 2), true)
  assert.equal(isReusable(defaultConnections, connection, false, staleMs), false)
  applyConnectionEvent(connections, connection, 'take')
  assert.equal(isSilent(defaultConnections, connection, silentMs + 1), true)
  recordProgress(connections, connection, silentMs)
  assert.equal(isSilent(defaultConnections, connection, silentMs + 1), false)
})

/** Guards against this failure: firm offers fail with a reset connection, some dozens within seconds. */
test('resets of rested connections at two servers bound the rest before a request that must not repeat', () => {
  const memory = createIdleConnectionHistory()
  recordResetAfterIdle(memory, 'a:80', 400, 1000)
  recordResetAfterIdle(memory, 'a:80', 350, 1100)
  assert.equal(getMaxIdleMs(memory, 1200), Infinity)
  recordResetAfterIdle(memory, 'b:80', 600, 1200)
  assert.equal(Math.round(getMaxIdleMs(memory, 1300)), 245)
  assert.equal(getMaxIdleMs(memory, 1300 + 8000), Infinity)
})

test('a reset of a connection in steady use tells of a crash and bounds nothing', () => {
  const memory = createIdleConnectionHistory()
  for (const address of ['a:80', 'b:80', 'c:80']) recordResetAfterIdle(memory, address, 20, 1000)
  assert.equal(getMaxIdleMs(memory, 1001), Infinity)
})

/** Guards against this failure: requests that must not repeat hang to their time limits for seconds. */
test('connections silent at two servers leave only those that showed life after them', () => {
  const memory = createIdleConnectionHistory()
  recordUnansweredAfterIdle(memory, 'a:80', 700, 1000, 1500)
  assert.equal(getMaxIdleMs(memory, 1500), Infinity)
  recordUnansweredAfterIdle(memory, 'b:80', 500, 1100, 1600)
  // The second one showed life at 600 for the last time.
  assert.equal(getMaxIdleMs(memory, 1700), 1100)
  assert.equal(getMaxIdleMs(memory, 1600 + 8000), Infinity)
})
