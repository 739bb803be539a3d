/** When a pooled connection may carry a request. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { loadChart } from '@lynxcourse/base'
import { createConnectionState, defaultConnectionCfg, isSilent, isReusable, recordProgress, applyConnectionEvent } from '@lynxcourse/routing'
import { createIdleConnectionHistory, getMaxIdleMs, recordResetAfterIdle, recordUnansweredAfterIdle } from '@lynxcourse/placement'

test('a connection without recent progress is not reused, with a shorter limit for requests that must not repeat', () => {
  // Guards against this failure: a request on a connection that a middlebox has dropped hangs until its deadline.
  const connections = loadChart('connection')
  const connection = createConnectionState(connections, 0)
  const { staleMs, silentMs } = defaultConnectionCfg
  assert.equal(isReusable(defaultConnectionCfg, connection, true, staleMs / 2 - 1), true)
  assert.equal(isReusable(defaultConnectionCfg, connection, true, staleMs / 2), false)
  assert.equal(isReusable(defaultConnectionCfg, connection, false, staleMs / 2), true)
  assert.equal(isReusable(defaultConnectionCfg, connection, false, staleMs), false)
  applyConnectionEvent(connections, connection, 'take')
  assert.equal(isSilent(defaultConnectionCfg, connection, silentMs + 1), true)
  recordProgress(connections, connection, silentMs)
  assert.equal(isSilent(defaultConnectionCfg, connection, silentMs + 1), false)
})

/** Guards against this failure: dozens of requests that must not repeat fail within seconds with a connection reset. */
test('resets of idle connections at two servers limit the idle time before a request that must not repeat', () => {
  const memory = createIdleConnectionHistory()
  recordResetAfterIdle(memory, 'a:80', 400, 1000)
  recordResetAfterIdle(memory, 'a:80', 350, 1100)
  assert.equal(getMaxIdleMs(memory, 1200), Infinity)
  recordResetAfterIdle(memory, 'b:80', 600, 1200)
  assert.equal(Math.round(getMaxIdleMs(memory, 1300)), 245)
  assert.equal(getMaxIdleMs(memory, 1300 + 8000), Infinity)
})

test('a reset of a connection in steady use indicates a crash and does not limit the idle time', () => {
  const memory = createIdleConnectionHistory()
  for (const address of ['a:80', 'b:80', 'c:80']) recordResetAfterIdle(memory, address, 20, 1000)
  assert.equal(getMaxIdleMs(memory, 1001), Infinity)
})

/** Guards against this failure: for seconds, requests that must not repeat hang until their deadlines. */
test('after silent connections at two servers, only connections with later progress are used', () => {
  const memory = createIdleConnectionHistory()
  recordUnansweredAfterIdle(memory, 'a:80', 700, 1000, 1500)
  assert.equal(getMaxIdleMs(memory, 1500), Infinity)
  recordUnansweredAfterIdle(memory, 'b:80', 500, 1100, 1600)
  // The second connection made its last progress at 600 ms.
  assert.equal(getMaxIdleMs(memory, 1700), 1100)
  assert.equal(getMaxIdleMs(memory, 1600 + 8000), Infinity)
})
