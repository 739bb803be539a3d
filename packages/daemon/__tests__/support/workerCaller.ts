/** A caller on a thread of its own: it sends while the event loop of the tests, and of the VMs in them, stands still. */
import { Worker } from 'node:worker_threads'

/** Runs in the thread: connects, asks once so that the connection is an old one where that is wanted, then sends and leaves when told to. */
const program = `
const { connect } = require('node:net')
const { parentPort, workerData } = require('node:worker_threads')
const { host, port, path, message, isOld, flag } = workerData
const sent = new Int32Array(flag)
const head = 'GET ' + path + ' HTTP/1.1\\r\\nhost: a.example\\r\\n\\r\\n'
const socket = connect(port, host)
let text = ''
let isReady = !isOld
const done = place => () => { Atomics.add(sent, place, 1); Atomics.notify(sent, place) }
const send = () => socket.write(message, done(0))
const leave = () => { socket.once('close', done(1)); socket.destroy() }
const steps = { send, leave, sendAndLeave: () => socket.write(message, leave) }
socket.setEncoding('latin1')
socket.on('error', err => parentPort.postMessage({ failed: String(err) }))
socket.on('connect', () => { if (isOld) socket.write(head); else parentPort.postMessage('ready') })
socket.on('data', part => {
  text += part
  const end = text.indexOf('\\r\\n\\r\\n')
  const length = /content-length: (\\d+)/i.exec(text)
  if (end < 0 || length === null || text.length < end + 4 + Number(length[1])) return
  if (isReady) parentPort.postMessage(text)
  else { isReady = true; parentPort.postMessage('ready') }
  text = ''
})
parentPort.on('message', step => steps[step]())
`

/** The text of a GET. */
export function formatGetRequest (path: string): string {
  return `GET ${path} HTTP/1.1\r\nhost: a.example\r\n\r\n`
}

/** The text of a POST. */
export function formatPostRequest (path: string, body = ''): string {
  return `POST ${path} HTTP/1.1\r\nhost: a.example\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
}

/** Where the thread counts what it has sent, and that it has left. */
const sentPlace = 0
const leftPlace = 1

/** A caller that is connected. */
export interface WorkerCaller extends AsyncDisposable {
  /** Has it send its request, and holds this thread until that is done and so many milliseconds more. */
  readonly sendWhileBlocked: (blockedMs: number) => void
  /** The same, and closes its connection once the request is sent. */
  readonly sendAndDisconnectWhileBlocked: (blockedMs: number) => void
  /** Has it send its request, and goes on. */
  readonly send: () => void
  /** Has it close its connection, and holds this thread until that is done and so many milliseconds more. */
  readonly disconnectWhileBlocked: (blockedMs: number) => void
  /** The text of its answer. */
  readonly answer: Promise<string>
}

/**
 * Connects a caller.
 *
 * @param isOld whether its connection has carried a request before
 * @param message what it sends, head and body; a GET of the path if left out
 */
export async function connectWorkerCaller (address: string, path: string, isOld: boolean, message = formatGetRequest(path)): Promise<WorkerCaller> {
  const [host, port] = address.split(':')
  const flag = new SharedArrayBuffer(8)
  const sent = new Int32Array(flag)
  const worker = new Worker(program, { eval: true, workerData: { host, port: Number(port), path, message, isOld, flag } })
  const next = async (): Promise<string> => await new Promise((resolve, reject) => {
    worker.once('message', (told: string | { failed: string }) => typeof told === 'string' ? resolve(told) : reject(new Error(told.failed)))
    worker.once('error', reject)
  })
  await next()
  const answer = next()
  answer.catch(() => undefined)
  const blockWhile = (step: string, place: number, blockedMs: number): void => {
    const before = Atomics.load(sent, place)
    worker.postMessage(step)
    Atomics.wait(sent, place, before)
    Atomics.wait(sent, place, before + 1, blockedMs)
  }
  return {
    sendWhileBlocked: blockedMs => blockWhile('send', sentPlace, blockedMs),
    sendAndDisconnectWhileBlocked: blockedMs => blockWhile('sendAndLeave', leftPlace, blockedMs),
    send: () => worker.postMessage('send'),
    disconnectWhileBlocked: blockedMs => blockWhile('leave', leftPlace, blockedMs),
    answer,
    [Symbol.asyncDispose]: async () => { await worker.terminate() }
  }
}
