/** Backend servers on plain sockets that answer each request by a script, and count the runs of each request themselves. */
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** Names of the headers by which servers and callers identify requests. */
export interface ScriptHeaders {
  readonly requestId: string
  readonly notExecuted: string
  readonly seal: string
  readonly instance: string
}

/** One answer as a server writes it. */
export interface AnswerShape {
  readonly status: number
  /** Whether the answer states that the request was not run; status 421 states it too. */
  readonly isRejection: boolean
  readonly echo: 'own' | 'other' | 'twice' | 'none'
  readonly framing: 'length' | 'chunks' | 'close'
  readonly hasInterim: boolean
  readonly bodyBytes: number
}

/** What a server does with one request. */
export interface ServerScript {
  readonly answer: AnswerShape
  readonly runs: 'before' | 'after' | 'never'
  readonly delayMs: number
  /** A further answer: with the first, while the connection is idle, or before or during the next request of the connection. */
  readonly extra?: { readonly answer: AnswerShape, readonly when: 'together' | 'idle' | 'next' | 'atWork' } | undefined
  /** Ends the connection after a share of the answer's bytes. */
  readonly end?: { readonly share: number, readonly how: 'close' | 'reset', readonly afterMs: number } | undefined
}

/** The scripts of all servers, and what they counted. */
export interface ScriptLedger {
  readonly headers: ScriptHeaders
  /** Scripts by request id, in the order of the request's arrivals; later arrivals are answered well. */
  readonly scripts: Map<string, ServerScript[]>
  readonly arrivals: Map<string, number>
  readonly runs: Map<string, number>
  /** Whole bodies by request id, with the status that their server gave. */
  readonly answers: Map<string, Array<{ readonly status: number, readonly body: string }>>
}

export interface ScriptedServer extends AsyncDisposable {
  readonly id: string
  readonly address: string
}

const workMs = 4
const laterMs = 3
export const goodAnswer: AnswerShape = { status: 200, isRejection: false, echo: 'own', framing: 'length', hasInterim: false, bodyBytes: 40 }
const goodScript: ServerScript = { answer: goodAnswer, runs: 'before', delayMs: 1 }

export function createScriptLedger (headers: ScriptHeaders): ScriptLedger {
  return { headers, scripts: new Map(), arrivals: new Map(), runs: new Map(), answers: new Map() }
}

/** Whether an answer states that its request has not run and will not run. */
export function isRejecting ({ isRejection, status }: AnswerShape): boolean {
  return isRejection || status === 421
}

export async function startScriptedServer (ledger: ScriptLedger, id: string): Promise<ScriptedServer> {
  const sockets = new Set<Socket>()
  const server = createServer({ noDelay: true }, socket => {
    sockets.add(socket)
    socket.on('error', () => undefined).once('close', () => sockets.delete(socket))
    serveConnection(ledger, id, socket)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    id,
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    [Symbol.asyncDispose]: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => server.close(resolve))
    }
  }
}

function serveConnection (ledger: ScriptLedger, server: string, socket: Socket): void {
  let text = ''
  let pendingExtra: { readonly bytes: string, readonly when: 'next' | 'atWork' } | undefined
  socket.setEncoding('latin1').on('data', (part: string) => {
    text += part
    for (let request = takeRequest(text); request !== undefined; request = takeRequest(text)) {
      text = text.slice(request.bytes)
      const id = getHeader(request.head, ledger.headers.requestId) ?? ''
      const extra = pendingExtra
      pendingExtra = undefined
      if (extra?.when === 'next') socket.write(extra.bytes)
      if (extra?.when === 'atWork') setTimeout(() => socket.write(extra.bytes), laterMs)
      const script = nextScript(ledger, id)
      setTimeout(() => { pendingExtra = performScript(ledger, server, socket, id, script) }, Math.max(script.delayMs, extra === undefined ? 0 : laterMs + workMs))
    }
  })
}

function nextScript (ledger: ScriptLedger, id: string): ServerScript {
  ledger.arrivals.set(id, (ledger.arrivals.get(id) ?? 0) + 1)
  return ledger.scripts.get(id)?.shift() ?? goodScript
}

function performScript (ledger: ScriptLedger, server: string, socket: Socket, id: string, script: ServerScript): { readonly bytes: string, readonly when: 'next' | 'atWork' } | undefined {
  const countRun = (): void => { ledger.runs.set(id, (ledger.runs.get(id) ?? 0) + 1) }
  if (script.runs === 'before') countRun()
  if (script.runs === 'after') setTimeout(countRun, laterMs)
  const { extra, end } = script
  const bytes = formatAnswer(ledger, server, id, script.answer)
  if (end !== undefined) {
    socket.write(bytes.slice(0, Math.floor(bytes.length * end.share)), 'latin1')
    const finish = (): void => { end.how === 'reset' ? socket.resetAndDestroy() : socket.end() }
    if (end.afterMs === 0) finish()
    else setTimeout(finish, end.afterMs)
    return undefined
  }
  const extraBytes = extra === undefined ? '' : formatAnswer(ledger, server, id, extra.answer)
  socket.write(bytes + (extra?.when === 'together' ? extraBytes : ''), 'latin1')
  if (script.answer.framing === 'close') socket.end()
  if (extra?.when === 'idle') setTimeout(() => socket.write(extraBytes, 'latin1'), 1)
  return extra?.when === 'next' || extra?.when === 'atWork' ? { bytes: extraBytes, when: extra.when } : undefined
}

/** Writes out an answer, and records its body as one that belongs to the request. */
function formatAnswer (ledger: ScriptLedger, server: string, id: string, shape: AnswerShape): string {
  const { headers } = ledger
  const body = `${server}:${id}:`.padEnd(shape.bodyBytes, 'x')
  const ids = { own: [id], other: [`${id}-other`], twice: [id, `${id}-other`], none: [] }[shape.echo]
  const lines = [`HTTP/1.1 ${shape.status} Status`, ...ids.map(echoed => `${headers.requestId}: ${echoed}`)]
  if (shape.isRejection) lines.push(`${headers.notExecuted}: 1`)
  else lines.push(`${headers.seal}: ${server}.${id}.${shape.status}`)
  if (shape.status === 421) lines.push(`${headers.instance}: other`)
  if (shape.framing === 'length') lines.push(`Content-Length: ${body.length}`)
  if (shape.framing === 'chunks') lines.push('Transfer-Encoding: chunked')
  if (shape.framing === 'close') lines.push('Connection: close')
  ledger.answers.set(id, [...ledger.answers.get(id) ?? [], { status: shape.status, body }])
  const interim = shape.hasInterim ? 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n' : ''
  return `${interim}${lines.join('\r\n')}\r\n\r\n${shape.framing === 'chunks' ? formatChunks(body) : body}`
}

function formatChunks (body: string): string {
  const half = Math.ceil(body.length / 2)
  return [body.slice(0, half), body.slice(half)].filter(part => part !== '').map(part => `${part.length.toString(16)}\r\n${part}\r\n`).join('') + '0\r\n\r\n'
}

function takeRequest (text: string): { readonly head: string, readonly bytes: number } | undefined {
  const headEnd = text.indexOf('\r\n\r\n')
  if (headEnd < 0) return undefined
  const head = text.slice(0, headEnd)
  const bytes = headEnd + 4 + Number(getHeader(head, 'content-length') ?? 0)
  return text.length < bytes ? undefined : { head, bytes }
}

export function getHeader (head: string, name: string): string | undefined {
  const line = head.split('\r\n').find(text => text.toLowerCase().startsWith(`${name.toLowerCase()}:`))
  return line?.slice(name.length + 1).trim()
}
