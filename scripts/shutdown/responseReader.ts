/** A strict incremental reader of HTTP/1.1 answers, as a caller receives them on one connection. */

/** A complete answer. */
export interface ReceivedAnswer {
  readonly status: number
  /** Values by lower-case name; repeated headers are joined by `, `. */
  readonly headers: ReadonlyMap<string, string>
  readonly body: Buffer
}

/** The bytes of a connection are no HTTP/1.1 answers. */
export class MalformedAnswerError extends Error {
  override readonly name = 'MalformedAnswerError'
}

const maxLineBytes = 16 * 1024
const lineFeed = 0x0a
const carriageReturn = 0x0d

type ReaderState = 'statusLine' | 'header' | 'lengthBody' | 'closeBody' | 'chunkSize' | 'chunk' | 'chunkEnd' | 'trailer' | 'over'

/** Reads the answers of one connection; bytes may arrive in any pieces. */
export class ResponseReader {
  private state: ReaderState = 'statusLine'
  private line: Buffer = Buffer.alloc(0)
  private status = 0
  private headers = new Map<string, string>()
  private body: Buffer[] = []
  /** Bytes that the current body or chunk still lacks. */
  private missing = 0
  private received = 0
  private extra = 0
  private closes = false

  /** @param onAnswer called for each complete answer; interim answers (1xx) are skipped */
  constructor (private readonly onAnswer: (answer: ReceivedAnswer) => void) {}

  /** Bytes of the answer that is not complete yet. */
  get partialBytes (): number {
    return this.received
  }

  /** Bytes after an answer that announced to be the last one. */
  get extraBytes (): number {
    return this.extra
  }

  /** Whether a head with `Connection: close` has arrived; its body may still be incomplete. */
  get hasSeenClose (): boolean {
    return this.closes
  }

  /** Reads bytes in the order of their arrival; throws `MalformedAnswerError`. */
  push (bytes: Buffer): void {
    let rest = bytes
    while (rest.length > 0) {
      const used = this.consume(rest)
      rest = rest.subarray(used)
    }
  }

  /** Notes the orderly end of the connection, which completes an answer without a length. */
  end (): void {
    if (this.state === 'closeBody') this.finishAnswer()
  }

  private consume (bytes: Buffer): number {
    if (this.state === 'over') {
      this.extra += bytes.length
      return bytes.length
    }
    const isBody = this.state === 'lengthBody' || this.state === 'closeBody' || this.state === 'chunk'
    return isBody ? this.consumeBody(bytes) : this.consumeLine(bytes)
  }

  private consumeBody (bytes: Buffer): number {
    const used = this.state === 'closeBody' ? bytes.length : Math.min(bytes.length, this.missing)
    this.received += used
    this.body.push(Buffer.from(bytes.subarray(0, used)))
    if (this.state === 'closeBody') return used
    this.missing -= used
    if (this.missing > 0) return used
    if (this.state === 'lengthBody') this.finishAnswer()
    else this.state = 'chunkEnd'
    return used
  }

  private consumeLine (bytes: Buffer): number {
    const end = bytes.indexOf(lineFeed)
    const used = end < 0 ? bytes.length : end + 1
    this.received += used
    this.line = Buffer.concat([this.line, bytes.subarray(0, used)])
    if (this.line.length > maxLineBytes) throw new MalformedAnswerError('line too long')
    if (end < 0) return used
    if (this.line.at(-2) !== carriageReturn) throw new MalformedAnswerError('line without a carriage return')
    const text = this.line.toString('latin1', 0, this.line.length - 2)
    this.line = Buffer.alloc(0)
    this.readLine(text)
    return used
  }

  private readLine (text: string): void {
    switch (this.state) {
      case 'statusLine': this.readStatusLine(text); break
      case 'header': this.readHeader(text); break
      case 'chunkSize': this.readChunkSize(text); break
      case 'chunkEnd': this.readChunkEnd(text); break
      default: if (text === '') this.finishAnswer()
    }
  }

  private readStatusLine (text: string): void {
    const match = /^HTTP\/1\.1 (\d{3})(?: .*)?$/.exec(text)
    if (match === null) throw new MalformedAnswerError(`status line ${JSON.stringify(text.slice(0, 80))}`)
    this.status = Number(match[1])
    this.state = 'header'
  }

  private readHeader (text: string): void {
    if (text === '') {
      this.finishHead()
      return
    }
    const match = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*(.*?)[ \t]*$/.exec(text)
    if (match === null) throw new MalformedAnswerError(`header ${JSON.stringify(text.slice(0, 80))}`)
    const name = String(match[1]).toLowerCase()
    const value = String(match[2])
    const earlier = this.headers.get(name)
    this.headers.set(name, earlier === undefined ? value : `${earlier}, ${value}`)
  }

  private finishHead (): void {
    if (this.status < 200) {
      this.startAnswer()
      return
    }
    if (hasToken(this.headers.get('connection'), 'close')) this.closes = true
    const encoding = this.headers.get('transfer-encoding')
    const length = this.headers.get('content-length')
    if (encoding !== undefined && length !== undefined) throw new MalformedAnswerError('both a length and chunks')
    if (this.status === 204 || this.status === 304) this.finishAnswer()
    else if (encoding !== undefined) this.startChunks(encoding)
    else if (length !== undefined) this.startLengthBody(length)
    else this.startCloseBody()
  }

  private startChunks (encoding: string): void {
    if (encoding.toLowerCase() !== 'chunked') throw new MalformedAnswerError(`transfer encoding ${encoding}`)
    this.state = 'chunkSize'
  }

  private startLengthBody (length: string): void {
    if (!/^\d+$/.test(length)) throw new MalformedAnswerError(`length ${length}`)
    this.missing = Number(length)
    this.state = 'lengthBody'
    if (this.missing === 0) this.finishAnswer()
  }

  private startCloseBody (): void {
    this.closes = true
    this.state = 'closeBody'
  }

  private readChunkSize (text: string): void {
    const match = /^([0-9A-Fa-f]{1,8})(?:;.*)?$/.exec(text)
    if (match === null) throw new MalformedAnswerError(`chunk size ${JSON.stringify(text.slice(0, 80))}`)
    this.missing = parseInt(String(match[1]), 16)
    this.state = this.missing === 0 ? 'trailer' : 'chunk'
  }

  private readChunkEnd (text: string): void {
    if (text !== '') throw new MalformedAnswerError('chunk longer than its size')
    this.state = 'chunkSize'
  }

  private finishAnswer (): void {
    const answer = { status: this.status, headers: this.headers, body: Buffer.concat(this.body) }
    this.startAnswer()
    if (this.closes) this.state = 'over'
    this.onAnswer(answer)
  }

  private startAnswer (): void {
    this.state = 'statusLine'
    this.headers = new Map()
    this.body = []
    this.received = 0
  }
}

function hasToken (value: string | undefined, token: string): boolean {
  const tokens = value?.split(',').map(part => part.trim().toLowerCase()) ?? []
  return tokens.includes(token)
}
