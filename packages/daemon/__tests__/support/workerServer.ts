/** A backend server in a worker thread. It can answer while the event loop of the tests and their VMs is blocked. */
import { Worker } from 'node:worker_threads'

/** Program of the worker thread. It counts the requests and answers of one path and delays its answers. */
const program = `
const { createServer } = require('node:http')
const { parentPort, workerData } = require('node:worker_threads')
const { path, delayMs, counters } = workerData
const counts = new Int32Array(counters)
const increment = index => { Atomics.add(counts, index, 1); Atomics.notify(counts, index) }
const server = createServer((req, res) => {
  const isCounted = req.url === path
  if (isCounted) increment(0)
  setTimeout(() => res.end('ok', () => { if (isCounted) increment(1) }), isCounted ? delayMs : 0)
})
server.listen(0, '127.0.0.1', () => parentPort.postMessage('127.0.0.1:' + server.address().port))
`

/** Indexes of the thread's counters. */
const requestsIndex = 0
const answersIndex = 1

/** A running server. */
export interface WorkerServer extends AsyncDisposable {
  readonly address: string
  /** Returns the number of requests of the counted path. */
  readonly requests: () => number
  /** Blocks the calling thread until the next answer of the counted path is written and for `extraMs` more. */
  readonly blockThroughAnswer: (extraMs: number) => void
}

/** Starts a server that answers one path after a delay and all others at once. */
export async function startWorkerServer (path: string, delayMs: number): Promise<WorkerServer> {
  const counters = new SharedArrayBuffer(8)
  const counts = new Int32Array(counters)
  const worker = new Worker(program, { eval: true, workerData: { path, delayMs, counters } })
  const address = await new Promise<string>((resolve, reject) => {
    worker.once('message', resolve)
    worker.once('error', reject)
  })
  return {
    address,
    requests: () => Atomics.load(counts, requestsIndex),
    blockThroughAnswer: extraMs => {
      const before = Atomics.load(counts, answersIndex)
      Atomics.wait(counts, answersIndex, before)
      Atomics.wait(counts, answersIndex, before + 1, extraMs)
    },
    [Symbol.asyncDispose]: async () => { await worker.terminate() }
  }
}
