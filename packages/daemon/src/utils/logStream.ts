/**
 * Standard output in batches. A line for each routing decision, written by itself, costs a system call
 * for each request; lines of a few milliseconds share one. What is left is written when the process ends.
 */
import { writeSync } from 'node:fs'
import { Writable } from 'node:stream'

const flushMs = 20
const flushBytes = 65_536
const standardOutput = 1

/** Opens the stream. */
export function openLogStream (): Writable {
  let lines: Buffer[] = []
  let size = 0
  let timer: NodeJS.Timeout | undefined
  const flush = (): void => {
    clearTimeout(timer)
    timer = undefined
    const bytes = Buffer.concat(lines)
    lines = []
    size = 0
    writeAll(bytes)
  }
  process.on('exit', flush)
  return new Writable({
    write: (chunk: Buffer, _, done) => {
      lines.push(chunk)
      size += chunk.length
      if (size >= flushBytes) flush()
      else timer ??= setTimeout(flush, flushMs)
      done()
    }
  })
}

function writeAll (bytes: Buffer): void {
  let at = 0
  try {
    while (at < bytes.length) at += writeSync(standardOutput, bytes, at)
  } catch {
    // A reader that is gone or full must not stop the daemon: these lines are lost.
  }
}
