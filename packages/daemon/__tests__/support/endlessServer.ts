/** A backend server that sends bytes without end until its connection is closed. */
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

const chunkBytes = 16_384
const fill = 'x'.repeat(chunkBytes)
const ok = 'HTTP/1.1 200 OK\r\n'
const chunked = `${ok}transfer-encoding: chunked\r\n\r\n`

/** What the server sends: bytes that begin an answer, and bytes that follow again and again. */
export const endlessAnswers = {
  'a status line': { begin: 'HTTP/1.1 200 ', repeat: fill },
  'a name of a header field': { begin: ok, repeat: fill },
  'a value of a header field': { begin: `${ok}x-a: `, repeat: fill },
  'header fields': { begin: ok, repeat: 'x-a: 1\r\n'.repeat(1000) },
  'interim answers': { begin: '', repeat: 'HTTP/1.1 103 Early Hints\r\nx-a: 1\r\n\r\n'.repeat(400) },
  'a chunk size': { begin: chunked, repeat: '0'.repeat(chunkBytes) },
  'a chunk extension': { begin: `${chunked}1;`, repeat: fill },
  trailers: { begin: `${chunked}0\r\n`, repeat: 'x-a: 1\r\n'.repeat(1000) },
  'a body beyond its length': { begin: `${ok}content-length: 2\r\n\r\nok`, repeat: fill },
  'a body without a length': { begin: `${ok}\r\n`, repeat: fill },
  'a chunked body': { begin: chunked, repeat: `4000\r\n${fill}\r\n` },
  'chunks of one byte': { begin: chunked, repeat: '1\r\nx\r\n'.repeat(2000) }
} as const

export type EndlessKind = keyof typeof endlessAnswers

export interface EndlessServer extends AsyncDisposable {
  readonly address: string
  readonly sockets: Set<Socket>
  /** Requests that were answered by bytes without end, and the bytes that were handed to the system for each of them. */
  readonly sent: number[]
  kind: EndlessKind
  /** Time between two pieces; 0 for as fast as the connection takes them. */
  pauseMs: number
  /** Size of a piece if there is time between them. */
  pieceBytes: number
  /** Requests that are answered well before. */
  goodAnswers: number
}

export async function startEndlessServer (kind: EndlessKind): Promise<EndlessServer> {
  const server: Server = createServer({ noDelay: true })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const endless: EndlessServer = {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    sockets: new Set(),
    sent: [],
    kind,
    pauseMs: 0,
    pieceBytes: 400,
    goodAnswers: 0,
    [Symbol.asyncDispose]: async () => {
      for (const socket of endless.sockets) socket.destroy()
      await new Promise(resolve => server.close(resolve))
    }
  }
  server.on('connection', socket => {
    endless.sockets.add(socket)
    socket.on('error', () => undefined)
    socket.once('close', () => endless.sockets.delete(socket))
    let text = ''
    socket.setEncoding('latin1').on('data', (part: string) => {
      text += part
      if (!text.includes('\r\n\r\n')) return
      text = ''
      answer(endless, socket)
    })
  })
  return endless
}

function answer (endless: EndlessServer, socket: Socket): void {
  if (endless.goodAnswers > 0) {
    endless.goodAnswers -= 1
    socket.write('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood')
    return
  }
  const { begin, repeat } = endlessAnswers[endless.kind]
  const { pauseMs, pieceBytes } = endless
  const index = endless.sent.push(0) - 1
  const piece = pauseMs === 0 ? repeat : repeat.slice(0, pieceBytes)
  const write = (): void => {
    if (socket.destroyed || endless.sent[index] === undefined) return
    endless.sent[index] += piece.length
    const isTaken = socket.write(piece)
    if (pauseMs > 0) setTimeout(write, pauseMs)
    else if (isTaken) setImmediate(write)
    else socket.once('drain', write)
  }
  socket.write(begin)
  write()
}
