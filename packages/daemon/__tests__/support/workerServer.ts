/** A backend server on a thread of its own: it answers while the event loop of the tests, and of the VMs in them, stands still. */
import { Worker } from 'node:worker_threads'

/** Runs in the thread: answers each request after a while, and counts requests and answers of one path. */
const program = `
const { createServer } = require('node:http')
const { parentPort, workerData } = require('node:worker_threads')
const { path, afterMs, counters } = workerData
const counts = new Int32Array(counters)
const count = place => { Atomics.add(counts, place, 1); Atomics.notify(counts, place) }
const server = createServer((req, res) => {
  const isCounted = req.url === path
  if (isCounted) count(0)
  setTimeout(() => res.end('ok', () => { if (isCounted) count(1) }), isCounted ? afterMs : 0)
})
server.listen(0, '127.0.0.1', () => parentPort.postMessage('127.0.0.1:' + server.address().port))
`

const requestsPlace = 0
const answersPlace = 1

export interface WorkerServer extends AsyncDisposable {
  readonly address: string
  /** Requests of the counted path so far. */
  readonly requests: () => number
  /** Holds this thread until the next answer of the counted path is written, and so many milliseconds more. */
  readonly blockThroughAnswer: (moreMs: number) => void
}

/** Starts a server that answers one path after so many milliseconds and others at once. */
export async function startWorkerServer (path: string, afterMs: number): Promise<WorkerServer> {
  const counters = new SharedArrayBuffer(8)
  const counts = new Int32Array(counters)
  const worker = new Worker(program, { eval: true, workerData: { path, afterMs, counters } })
  const address = await new Promise<string>((resolve, reject) => {
    worker.once('message', resolve)
    worker.once('error', reject)
  })
  return {
    address,
    requests: () => Atomics.load(counts, requestsPlace),
    blockThroughAnswer: moreMs => {
      const before = Atomics.load(counts, answersPlace)
      Atomics.wait(counts, answersPlace, before)
      Atomics.wait(counts, answersPlace, before + 1, moreMs)
    },
    [Symbol.asyncDispose]: async () => { await worker.terminate() }
  }
}
