/** Many callers in one worker thread. They can connect and send while the event loop of the tests and their VMs is blocked. */
import { Worker } from 'node:worker_threads'
import { formatGetRequest } from './workerCaller.js'

/** Program of the worker thread. On request it connects and sends many requests at once, then posts the statuses of the responses. */
const program = `
const { connect } = require('node:net')
const { parentPort, workerData } = require('node:worker_threads')
const { host, port, message, count, counters } = workerData
const sentCount = new Int32Array(counters)
const done = () => { Atomics.add(sentCount, 0, 1); Atomics.notify(sentCount, 0) }
const statuses = []
const sendRequest = () => {
  const socket = connect(port, host, () => socket.write(message, done))
  let text = ''
  socket.setEncoding('latin1')
  socket.on('data', chunk => { text += chunk; if (text.includes('\\r\\n\\r\\n')) socket.destroy() })
  socket.on('error', () => undefined)
  socket.on('close', () => {
    statuses.push(text.slice(9, 12))
    if (statuses.length === count) parentPort.postMessage(statuses)
  })
}
parentPort.on('message', () => { for (let each = 0; each < count; each++) sendRequest() })
`

/** Callers that connect at the same time. */
export interface WorkerCallers extends AsyncDisposable {
  /** Connects all callers and sends their requests; blocks the calling thread until that is done and for `blockedMs` more. */
  readonly connectAndSendWhileBlocked: (blockedMs: number) => void
  /** Statuses of the responses; an empty string for a connection that was closed without a response. */
  readonly statuses: Promise<readonly string[]>
}

/** Starts a worker thread for `count` callers, which do not connect yet. */
export async function startWorkerCallers (address: string, path: string, count: number): Promise<WorkerCallers> {
  const [host, port] = address.split(':')
  const counters = new SharedArrayBuffer(4)
  const sentCount = new Int32Array(counters)
  const worker = new Worker(program, { eval: true, workerData: { host, port: Number(port), message: formatGetRequest(path), count, counters } })
  await new Promise(resolve => worker.once('online', resolve))
  const statuses = new Promise<readonly string[]>((resolve, reject) => {
    worker.once('message', resolve)
    worker.once('error', reject)
  })
  return {
    connectAndSendWhileBlocked: blockedMs => {
      worker.postMessage('go')
      for (let current = Atomics.load(sentCount, 0); current < count; current = Atomics.load(sentCount, 0)) Atomics.wait(sentCount, 0, current)
      Atomics.wait(sentCount, 0, count, blockedMs)
    },
    statuses,
    [Symbol.asyncDispose]: async () => { await worker.terminate() }
  }
}
