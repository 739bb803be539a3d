/** Calls in progress at a service-addressed VM when it stops. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { stopDaemon } from '@lynxcourse/daemon'
import { startDaemonFixture, startTestBackend, waitForEvent } from './support/daemonFixture.js'
import type { DaemonFixture } from './support/daemonFixture.js'
import { formatGetRequest, formatPostRequest } from './support/workerCaller.js'

const answerBytes = 60_000
/** The answers together are larger than the buffers of both sockets. */
const callCount = 300
const pauseMs = 300

interface TestCaller {
  readonly socket: Socket
  readonly text: () => string
  readonly closed: Promise<unknown>
}

async function connectCaller (address: string): Promise<TestCaller> {
  const { hostname, port } = new URL(address.startsWith('http') ? address : `http://${address}`)
  const socket = connect(Number(port), hostname)
  let text = ''
  socket.setEncoding('latin1')
  socket.on('data', (chunk: string) => { text += chunk })
  // A reset shows as an answer that is missing.
  socket.on('error', () => undefined)
  const closed = new Promise(resolve => socket.once('close', resolve))
  await once(socket, 'connect')
  return { socket, text: () => text, closed }
}

function getContentLength (answer: string): number {
  return Number(/content-length: (\d+)/i.exec(answer)?.[1])
}

/** Stops the VM as its program does. */
async function stop ({ daemon }: DaemonFixture): Promise<void> {
  await stopDaemon(daemon)
  await daemon[Symbol.asyncDispose]()
}

// Guards against answers that are cut because they were written, but not sent when the VM had no other request.
test('a caller that reads slowly gets all of its answers from a VM that stops', async () => {
  await using rig = await startDaemonFixture({}, { lookupTtlS: 1 })
  await using backend = await startTestBackend(rig)
  backend.handler = (_req, res) => res.end('a'.repeat(answerBytes))
  const caller = await connectCaller(rig.http)
  caller.socket.write(formatGetRequest('/s/offers/x').repeat(callCount))
  await once(caller.socket, 'data')
  caller.socket.pause()
  await waitForEvent('all answers are written', () => rig.daemon.entry?.open === 0)
  const stopped = stop(rig)
  await waitForEvent('the server for callers closes', () => rig.daemon.servers.callers?.server.listening === false)
  caller.socket.resume()
  await caller.closed
  await stopped
  const answers = caller.text().split('HTTP/1.1 ').slice(1)
  assert.equal(answers.length, callCount)
  for (const answer of answers) assert.equal(answer.length - answer.indexOf('\r\n\r\n') - 4, getContentLength(answer))
})

// Guards against requests that are executed without an answer, because an answer before theirs closed the connection.
test('requests that arrive together at a VM that stops are all answered', async () => {
  await using rig = await startDaemonFixture({}, { lookupTtlS: 1 })
  await using backend = await startTestBackend(rig)
  backend.handler = (_req, res) => { setTimeout(() => res.end('whole'), pauseMs) }
  const caller = await connectCaller(rig.http)
  const stopped = stop(rig)
  caller.socket.write(formatGetRequest('/s/offers/x').repeat(2))
  await caller.closed
  await stopped
  assert.equal(caller.text().split('whole').length - 1, 2)
})

// Guards against operators that don't learn whether their change was accepted because their VM is told to stop.
test('a call of an operator in progress gets its answer from a VM that stops', async () => {
  await using rig = await startDaemonFixture({}, { lookupTtlS: 1 })
  const operator = await connectCaller(rig.rpc)
  const message = formatPostRequest('/rpc', JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'query.status', params: {} }))
  operator.socket.write(message.slice(0, -5))
  const stopped = stop(rig)
  await waitForEvent('the server for other VMs closes', () => !rig.daemon.servers.rpc.server.listening)
  operator.socket.write(message.slice(-5))
  await operator.closed
  await stopped
  assert.match(operator.text(), /^HTTP\/1\.1 200 [^]*"result":/)
})
