/** Callers on plain sockets that write any bytes, and read answers as a strict client does. */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { getHeader } from './scriptedServer.js'

/** An answer that a caller has read. */
export interface CallerAnswer {
  readonly status: number
  readonly head: string
  readonly body: string
  /** Whether the body is complete by its framing. */
  readonly isWhole: boolean
}

/** A caller's connection with what it has received so far. */
export interface ScriptedCaller extends Disposable {
  readonly socket: Socket
  received: string
  isClosed: boolean
}

const pollMs = 2

export function connectScriptedCaller (address: string): ScriptedCaller {
  const [host, port] = address.split(':')
  const socket = connect({ host: host ?? '', port: Number(port), noDelay: true })
  const caller: ScriptedCaller = { socket, received: '', isClosed: false, [Symbol.dispose]: () => { socket.destroy() } }
  socket.setEncoding('latin1')
  socket.on('data', (text: string) => { caller.received += text })
  socket.on('error', () => { caller.isClosed = true })
  socket.on('end', () => { caller.isClosed = true })
  socket.on('close', () => { caller.isClosed = true })
  return caller
}

/** Reads the next answer; undefined if the connection closes without one, or after `maxMs`. */
export async function readNextAnswer (caller: ScriptedCaller, maxMs: number): Promise<CallerAnswer | undefined> {
  const deadline = Date.now() + maxMs
  for (;;) {
    const isOver = caller.isClosed || Date.now() >= deadline
    const answer = takeAnswer(caller, isOver)
    if (answer !== undefined || isOver) return answer
    await new Promise(resolve => setTimeout(resolve, pollMs))
  }
}

function takeAnswer (caller: ScriptedCaller, isOver: boolean): CallerAnswer | undefined {
  const headEnd = caller.received.indexOf('\r\n\r\n')
  if (headEnd < 0) return undefined
  const head = caller.received.slice(0, headEnd)
  const rest = caller.received.slice(headEnd + 4)
  const status = Number(head.slice(9, 12))
  if (status < 200) {
    caller.received = rest
    return takeAnswer(caller, isOver)
  }
  const length = Number(getHeader(head, 'content-length') ?? 0)
  if (getHeader(head, 'transfer-encoding') !== undefined) {
    const end = rest.indexOf('0\r\n\r\n')
    if (end < 0 && !isOver) return undefined
    caller.received = end < 0 ? '' : rest.slice(end + 5)
    return { status, head, body: joinChunks(end < 0 ? rest : rest.slice(0, end)), isWhole: end >= 0 }
  }
  if (rest.length < length && !isOver) return undefined
  caller.received = rest.slice(length)
  return { status, head, body: rest.slice(0, length), isWhole: rest.length >= length }
}

function joinChunks (text: string): string {
  let body = ''
  for (let rest = text; rest !== '';) {
    const lineEnd = rest.indexOf('\r\n')
    const size = parseInt(rest, 16)
    if (lineEnd < 0 || Number.isNaN(size)) break
    body += rest.slice(lineEnd + 2, lineEnd + 2 + size)
    rest = rest.slice(lineEnd + 4 + size)
  }
  return body
}
