/** Requests that are sent ahead to a guarded server, cut at any bytes. */
import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import fc from 'fast-check'
import { deriveConnectionLimits } from '@lynxcourse/limits'
import { GuardedResponse, closeServer, createConnectionGuard, delay, guardServer, readBody } from '@lynxcourse/daemon'

const seed = 83
const waitMs = 5000

interface SentRequest {
  readonly framing: 'none' | 'length' | 'chunks'
  readonly body: string
  readonly chunkBytes: number
}

const requests: fc.Arbitrary<SentRequest> = fc.record({
  framing: fc.constantFrom('none', 'length', 'chunks'),
  // Bodies may look like the ends of heads.
  body: fc.array(fc.constantFrom('x', '\r\n', '\n\n', '\r\n\r\n', 'GET / HTTP/1.1\r\n\r\n', 'y'.repeat(5000)), { maxLength: 6 }).map(parts => parts.join('')),
  chunkBytes: fc.constantFrom(1, 3, 1000)
})

function formatRequest ({ framing, body, chunkBytes }: SentRequest, index: number): string {
  const head = `POST /${index} HTTP/1.1\r\nHost: a\r\n`
  if (framing === 'none') return `GET /${index} HTTP/1.1\r\nHost: a\r\n\r\n`
  if (framing === 'length') return `${head}Content-Length: ${body.length}\r\n\r\n${body}`
  const chunks = Array.from({ length: Math.ceil(body.length / chunkBytes) }, (_, chunk) => body.slice(chunk * chunkBytes, (chunk + 1) * chunkBytes))
  return `${head}Transfer-Encoding: chunked\r\n\r\n${chunks.map(chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('')}0\r\n\r\n`
}

// Guards against requests that are lost, doubled, mixed up with bodies, or never parsed, when the guard cuts and holds what clients send.
test('each request that is sent ahead is parsed once, in its order, with its body, wherever it is cut', async () => {
  const limits = deriveConnectionLimits({ memoryBytes: 200_000_000, descriptors: 4096, heapBytes: 200_000_000 })
  await using guard = createConnectionGuard(limits, () => undefined)
  const server = createServer({ ServerResponse: GuardedResponse }, (req, res) => {
    readBody(req, 1_000_000).then(body => res.end(`${req.url} ${body.length};`)).catch(() => res.destroy())
  })
  guardServer(guard, server, 'callers')
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  try {
    await fc.assert(fc.asyncProperty(fc.array(requests, { minLength: 1, maxLength: 60 }), fc.array(fc.integer({ min: 1, max: 3000 }), { minLength: 1, maxLength: 5 }), async (sent, cuts) => {
      const socket = connect({ port, host: '127.0.0.1', noDelay: true })
      let text = ''
      socket.setEncoding('latin1').on('data', (part: string) => { text += part }).on('error', () => undefined)
      const bytes = sent.map(formatRequest).join('')
      for (let offset = 0, cut = 0; offset < bytes.length; cut++) {
        const length = cuts[cut % cuts.length] ?? 1
        socket.write(bytes.slice(offset, offset + length))
        offset += length
        if (cut % 8 === 0) await new Promise(resolve => setImmediate(resolve))
      }
      const expected = sent.map(({ framing, body }, index) => `/${index} ${framing === 'none' ? 0 : body.length}`)
      const readAnswers = (): string[] => [...text.matchAll(/(\/\d+ \d+);/g)].map(([, answer]) => answer ?? '')
      const deadline = Date.now() + waitMs
      while (readAnswers().length < expected.length && Date.now() < deadline) await delay(2)
      socket.destroy()
      assert.deepEqual(readAnswers(), expected)
    }), { seed, numRuns: 60 })
    while (guard.openRequests > 0) await delay(2)
    assert.deepEqual([guard.inputBytes, guard.unsentBytes], [0, 0])
  } finally {
    await closeServer(server)
  }
})

// Guards against an assertion of the HTTP server, which ends the process, when a request whose body follows is parsed behind unread answers.
test('requests with bodies that are sent ahead behind unread answers are all answered once the client reads', async () => {
  const limits = deriveConnectionLimits({ memoryBytes: 200_000_000, descriptors: 4096, heapBytes: 200_000_000 })
  await using guard = createConnectionGuard(limits, () => undefined)
  const text = 'a'.repeat(20_000)
  const server = createServer({ ServerResponse: GuardedResponse }, (req, res) => {
    readBody(req, 1000).then(() => res.end(text)).catch(() => res.destroy())
  })
  guardServer(guard, server, 'callers')
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const count = 2000
  const socket = connect({ port: (server.address() as AddressInfo).port, host: '127.0.0.1' })
  try {
    socket.on('error', () => undefined).pause()
    socket.write(formatRequest({ framing: 'chunks', body: 'xyz', chunkBytes: 1 }, 1).repeat(count))
    // The client reads only once the server is blocked by its unread answers.
    let openBefore = -1
    while (guard.unsentBytes === 0 || guard.openRequests !== openBefore) {
      openBefore = guard.openRequests
      await delay(100)
    }
    let receivedBytes = 0
    socket.on('data', (part: Buffer) => { receivedBytes += part.length }).resume()
    const deadline = Date.now() + waitMs * 4
    while (receivedBytes < count * text.length && Date.now() < deadline) await delay(5)
    assert.ok(receivedBytes >= count * text.length, `${receivedBytes} bytes`)
  } finally {
    socket.destroy()
    await closeServer(server)
  }
})
