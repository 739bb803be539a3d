/** Many callers on one thread: they connect and send while the event loop of the tests, and of the VMs in them, stands still. */
import { Worker } from 'node:worker_threads'
import { formatGetRequest } from './workerCaller.js'

/** Runs in the thread: connects and sends many requests at once when told to, and tells the statuses of their answers. */
const crowdProgram = `
const { connect } = require('node:net')
const { parentPort, workerData } = require('node:worker_threads')
const { host, port, message, count, flag } = workerData
const sent = new Int32Array(flag)
const done = () => { Atomics.add(sent, 0, 1); Atomics.notify(sent, 0) }
const statuses = []
const ask = () => {
  const socket = connect(port, host, () => socket.write(message, done))
  let text = ''
  socket.setEncoding('latin1')
  socket.on('data', part => { text += part; if (text.includes('\\r\\n\\r\\n')) socket.destroy() })
  socket.on('error', () => undefined)
  socket.on('close', () => {
    statuses.push(text.slice(9, 12))
    if (statuses.length === count) parentPort.postMessage(statuses)
  })
}
parentPort.on('message', () => { for (let each = 0; each < count; each++) ask() })
`

/** Callers that connect at one moment. */
export interface WorkerCallers extends AsyncDisposable {
  /** Has all connect and send, and holds this thread until that is done and so many milliseconds more. */
  readonly connectAndSendWhileBlocked: (blockedMs: number) => void
  /** Statuses of their answers; empty for a connection that was closed without one. */
  readonly statuses: Promise<readonly string[]>
}

/** Prepares so many callers on one thread. */
export async function startWorkerCallers (address: string, path: string, count: number): Promise<WorkerCallers> {
  const [host, port] = address.split(':')
  const flag = new SharedArrayBuffer(4)
  const sent = new Int32Array(flag)
  const worker = new Worker(crowdProgram, { eval: true, workerData: { host, port: Number(port), message: formatGetRequest(path), count, flag } })
  await new Promise(resolve => worker.once('online', resolve))
  const statuses = new Promise<readonly string[]>((resolve, reject) => {
    worker.once('message', resolve)
    worker.once('error', reject)
  })
  return {
    connectAndSendWhileBlocked: blockedMs => {
      worker.postMessage('go')
      for (let seen = Atomics.load(sent, 0); seen < count; seen = Atomics.load(sent, 0)) Atomics.wait(sent, 0, seen)
      Atomics.wait(sent, 0, count, blockedMs)
    },
    statuses,
    [Symbol.asyncDispose]: async () => { await worker.terminate() }
  }
}
