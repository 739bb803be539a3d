/**
 * Standard output in batches, bounded and never waited for.
 *
 * What can go wrong: whoever reads the log stands still, the pipe fills up, and a process that writes
 * to it stands still as well. So lines gather in memory, one asynchronous write is under way at a
 * time, and lines over the bound are dropped and counted; the next line that fits says how many.
 */
import { write, writeSync } from 'node:fs'
import { Writable } from 'node:stream'

/** Lines gather this long, as each write wakes a thread of the runtime. A process that is killed loses the lines of this time. */
const flushMs = 250
/** Lines beyond this are dropped. */
const maxHeldBytes = 1_048_576
const standardOutput = 1

/** Opens the stream. */
export function openLogStream (): Writable {
  let lines: Buffer[] = []
  let size = 0
  let dropped = 0
  let isWriting = false
  let timer: NodeJS.Timeout | undefined
  const take = (): Buffer => {
    const bytes = Buffer.concat(lines)
    lines = []
    size = 0
    return bytes
  }
  const flush = (): void => {
    timer = undefined
    if (isWriting || size === 0) return
    isWriting = true
    writeAll(take(), () => {
      isWriting = false
      if (size > 0) timer ??= setTimeout(flush, flushMs)
    })
  }
  process.on('exit', () => writeLast(take()))
  return new Writable({
    write: (chunk: Buffer, _, done) => {
      if (size + chunk.length > maxHeldBytes) dropped += 1
      else {
        if (dropped > 0) {
          lines.push(Buffer.from(`${JSON.stringify({ level: 'warn', part: 'log', message: 'Lines were dropped.', dropped })}\n`))
          dropped = 0
        }
        lines.push(chunk)
        size += chunk.length
        timer ??= setTimeout(flush, flushMs)
      }
      done()
    }
  })
}

function writeAll (bytes: Buffer, done: () => void): void {
  write(standardOutput, bytes, 0, bytes.length, null, (err, written) => {
    // A reader that is gone must not stop the daemon: these lines are lost.
    if (err !== null || written >= bytes.length) done()
    else writeAll(bytes.subarray(written), done)
  })
}

function writeLast (bytes: Buffer): void {
  try {
    writeSync(standardOutput, bytes)
  } catch {
    // Nobody is left to tell: the process ends and its output is closed or full.
  }
}
