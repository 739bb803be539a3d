/** Bare HTTP servers as a baseline: one answers with a fixed body, one forwards requests. */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Pool } from 'undici'
import { serveCommands } from '../support/childCommands.js'

/** Which server to start: `fixed` and `target` answer with a body of `bytes` bytes, `pass` forwards requests to `target`. */
export interface BareServerCommand {
  readonly kind: 'fixed' | 'pass' | 'target'
  readonly ip: string
  readonly bytes: number
  readonly target: string
}

function createBareServer (command: BareServerCommand): ReturnType<typeof createServer> {
  const body = Buffer.alloc(command.bytes, 'x')
  if (command.kind !== 'pass') {
    return createServer((_, res) => {
      res.writeHead(200, { 'content-type': 'application/json', 'content-length': body.length }).end(body)
    })
  }
  const pool = new Pool(`http://${command.target}`, { connections: 64 })
  return createServer((req, res) => {
    pool.request({ method: 'GET', path: req.url ?? '/', headers: { 'x-echo': String(req.headers['x-echo']) } })
      .then(async answer => {
        const bytes = Buffer.from(await answer.body.arrayBuffer())
        res.writeHead(answer.statusCode, { 'content-length': bytes.length }).end(bytes)
      })
      .catch(() => res.writeHead(502).end())
  })
}

serveCommands<BareServerCommand>(async command => {
  const server = createBareServer(command)
  server.keepAliveTimeout = 60_000
  await new Promise<void>(resolve => server.listen(0, command.ip, resolve))
  return { address: `${command.ip}:${(server.address() as AddressInfo).port}` }
})
