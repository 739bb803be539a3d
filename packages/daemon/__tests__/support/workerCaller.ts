/** A caller in a worker thread. It can send while the event loop of the tests and their VMs is blocked. */
import { Worker } from 'node:worker_threads'

/**
 * Program of the worker thread. It connects, sends a first request if the connection is to be an old one, and then sends
 * and disconnects on request.
 */
const program = `
const { connect } = require('node:net')
const { parentPort, workerData } = require('node:worker_threads')
const { host, port, path, message, isOld, counters } = workerData
const counts = new Int32Array(counters)
const head = 'GET ' + path + ' HTTP/1.1\\r\\nhost: a.example\\r\\n\\r\\n'
const socket = connect(port, host)
let text = ''
let isReady = !isOld
const done = index => () => { Atomics.add(counts, index, 1); Atomics.notify(counts, index) }
const send = () => socket.write(message, done(0))
const disconnect = () => { socket.once('close', done(1)); socket.destroy() }
const steps = { send, disconnect, sendAndDisconnect: () => socket.write(message, disconnect) }
socket.setEncoding('latin1')
socket.on('error', err => parentPort.postMessage({ failed: String(err) }))
socket.on('connect', () => { if (isOld) socket.write(head); else parentPort.postMessage('ready') })
socket.on('data', chunk => {
  text += chunk
  const end = text.indexOf('\\r\\n\\r\\n')
  const length = /content-length: (\\d+)/i.exec(text)
  if (end < 0 || length === null || text.length < end + 4 + Number(length[1])) return
  if (isReady) parentPort.postMessage(text)
  else { isReady = true; parentPort.postMessage('ready') }
  text = ''
})
parentPort.on('message', step => steps[step]())
`

/** Formats a GET request. */
export function formatGetRequest (path: string): string {
  return `GET ${path} HTTP/1.1\r\nhost: a.example\r\n\r\n`
}

/** Formats a POST request. */
export function formatPostRequest (path: string, body = ''): string {
  return `POST ${path} HTTP/1.1\r\nhost: a.example\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
}

/** Indexes of the thread's counters: requests sent and connections closed. */
const sentIndex = 0
const closedIndex = 1

/** A connected caller. */
export interface WorkerCaller extends AsyncDisposable {
  /** Sends the request, and blocks the calling thread until it is sent and for `blockedMs` more. */
  readonly sendWhileBlocked: (blockedMs: number) => void
  /** Sends the request and closes the connection, and blocks the calling thread until that is done and for `blockedMs` more. */
  readonly sendAndDisconnectWhileBlocked: (blockedMs: number) => void
  /** Sends the request without blocking the calling thread. */
  readonly send: () => void
  /** Closes the connection, and blocks the calling thread until that is done and for `blockedMs` more. */
  readonly disconnectWhileBlocked: (blockedMs: number) => void
  /** The response, headers and body. */
  readonly answer: Promise<string>
}

/**
 * Connects a caller.
 *
 * @param isOld whether the connection has carried a request before
 * @param message the request, headers and body; by default a GET of the path
 */
export async function connectWorkerCaller (address: string, path: string, isOld: boolean, message = formatGetRequest(path)): Promise<WorkerCaller> {
  const [host, port] = address.split(':')
  const counters = new SharedArrayBuffer(8)
  const counts = new Int32Array(counters)
  const worker = new Worker(program, { eval: true, workerData: { host, port: Number(port), path, message, isOld, counters } })
  const receiveMessage = async (): Promise<string> => await new Promise((resolve, reject) => {
    worker.once('message', (reply: string | { failed: string }) => typeof reply === 'string' ? resolve(reply) : reject(new Error(reply.failed)))
    worker.once('error', reject)
  })
  await receiveMessage()
  const answer = receiveMessage()
  answer.catch(() => undefined)
  const runWhileBlocked = (step: string, index: number, blockedMs: number): void => {
    const before = Atomics.load(counts, index)
    worker.postMessage(step)
    Atomics.wait(counts, index, before)
    Atomics.wait(counts, index, before + 1, blockedMs)
  }
  return {
    sendWhileBlocked: blockedMs => runWhileBlocked('send', sentIndex, blockedMs),
    sendAndDisconnectWhileBlocked: blockedMs => runWhileBlocked('sendAndDisconnect', closedIndex, blockedMs),
    send: () => worker.postMessage('send'),
    disconnectWhileBlocked: blockedMs => runWhileBlocked('disconnect', closedIndex, blockedMs),
    answer,
    [Symbol.asyncDispose]: async () => { await worker.terminate() }
  }
}
