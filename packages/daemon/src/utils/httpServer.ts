/** Helpers for Node's HTTP server. */
import type { IncomingMessage, Server } from 'node:http'
import { LynxError, getErrorMessage } from '@lynxcourse/base'
import type { TakenBytes } from './byteBudget.js'
import { collectBytes, createByteCollector, takeBytes } from './byteCollector.js'

/** Splits `IP:port` into host and port. */
export function parseAddress (address: string): { host: string, port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}

/**
 * Listens on `IP:port`. With port 0 the operating system selects a free port.
 *
 * @throws LynxError `badSettings` if the address is not available
 */
export async function listen (server: Server, address: string): Promise<void> {
  const { host, port } = parseAddress(address)
  await new Promise<void>((resolve, reject) => {
    const fail = (err: Error): void => reject(new LynxError('badSettings', `listen on ${address}: ${getErrorMessage(err)}`, { step: 'listen', cause: err }))
    server.once('error', fail)
    server.listen(port, host, () => {
      server.off('error', fail)
      resolve()
    })
  })
}

/**
 * Closes a server and all of its connections at once, including those with a request in flight. `closeGracefully` answers these first.
 */
export async function closeServer (server: Server): Promise<void> {
  if (!server.listening) {
    // The listener may have been closed before its connections.
    server.closeAllConnections()
    return
  }
  await new Promise<void>(resolve => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}

/**
 * Reads a whole request body.
 *
 * @param taken counts the bytes as they arrive; without it, only `maxBytes` bounds them
 * @throws LynxError `tooLarge` if the body is larger than `maxBytes`, or as `taken` does
 */
export async function readBody (req: IncomingMessage, maxBytes: number, taken?: TakenBytes): Promise<Buffer> {
  const collector = createByteCollector()
  // An error must not destroy the request: that would close the connection before the response is sent.
  for await (const chunk of req.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
    if (collector.size + chunk.length > maxBytes) throw new LynxError('tooLarge', `body over ${maxBytes} bytes`, { step: 'read body', field: 'body' })
    taken?.take(chunk.length)
    collectBytes(collector, chunk)
  }
  return takeBytes(collector)
}
