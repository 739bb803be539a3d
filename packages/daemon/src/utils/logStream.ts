/**
 * A stream that writes to standard output in batches, with a bounded buffer and without blocking.
 *
 * If the reader of the log stops, the pipe fills up and a synchronous write blocks the process. The stream therefore
 * buffers lines in memory with at most one asynchronous write in flight. Lines that do not fit into the buffer are
 * dropped and counted, and the next line that fits is preceded by a line with that number.
 */
import { write, writeSync } from 'node:fs'
import { Writable } from 'node:stream'

/**
 * Time during which lines are collected into one write, since each write wakes a thread of the runtime. A process that is
 * killed loses the lines of this time.
 */
const flushMs = 250
/** Lines that exceed this buffer size are dropped. */
const maxBufferedBytes = 1_048_576
const stdoutFd = 1

/** Opens the stream. What it has buffered is written synchronously when the process exits. */
export function openLogStream (): Writable {
  let lines: string[] = []
  let size = 0
  let dropped = 0
  let isWriting = false
  let timer: NodeJS.Timeout | undefined
  const takeBuffered = (): Buffer => {
    const bytes = Buffer.from(lines.join(''))
    lines = []
    size = 0
    return bytes
  }
  const flush = (): void => {
    timer = undefined
    if (isWriting || size === 0) return
    isWriting = true
    writeAll(takeBuffered(), () => {
      isWriting = false
      if (size > 0) timer ??= setTimeout(flush, flushMs)
    })
  }
  process.on('exit', () => writeOnExit(takeBuffered()))
  return new Writable({
    // Lines are encoded once, when they are written.
    decodeStrings: false,
    write: (line: string, _, done) => {
      const bytes = Buffer.byteLength(line)
      if (size + bytes > maxBufferedBytes) dropped += 1
      else {
        if (dropped > 0) {
          lines.push(`${JSON.stringify({ level: 'warn', part: 'log', message: 'Lines were dropped.', dropped })}\n`)
          dropped = 0
        }
        lines.push(line)
        size += bytes
        timer ??= setTimeout(flush, flushMs)
      }
      done()
    }
  })
}

function writeAll (bytes: Buffer, done: () => void): void {
  write(stdoutFd, bytes, 0, bytes.length, null, (err, written) => {
    // An error, such as a closed pipe, must not stop the daemon; the lines are lost.
    if (err !== null || written >= bytes.length) done()
    else writeAll(bytes.subarray(written), done)
  })
}

function writeOnExit (bytes: Buffer): void {
  try {
    writeSync(stdoutFd, bytes)
  } catch {
    // Ignored: the error can't be reported, since the process exits and its output is closed or full.
  }
}
