/** Small helpers around Node's HTTP server. */
import type { IncomingMessage, Server } from 'node:http'
import { LynxError, getErrorMessage } from '@lynxcourse/base'

/** Host and port of `IP:port`. */
export function parseAddress (address: string): { host: string, port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}

/** Listens on `IP:port`; port 0 takes a free one. */
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

/** Closes a server and the connections that carry nothing. */
export async function closeServer (server: Server): Promise<void> {
  if (!server.listening) return
  await new Promise<void>(resolve => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}

/**
 * Reads a whole body.
 *
 * @throws LynxError `tooLarge` over `maxBytes`
 */
export async function readBody (req: IncomingMessage, maxBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = []
  let size = 0
  // Left undestroyed on an error: a destroyed request takes its connection, and the answer, with it.
  for await (const chunk of req.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
    size += chunk.length
    if (size > maxBytes) throw new LynxError('tooLarge', `body over ${maxBytes} bytes`, { step: 'read body', field: 'body' })
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}
