/** Bare servers to compare with: one that answers a fixed body, one that passes requests on. */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Pool } from 'undici'
import { answerOrders } from '../support/childOrders.js'

/** What to run: `fixed` answers so many bytes, `pass` sends to a target, `target` answers a small body. */
export interface BareOrder {
  readonly kind: 'fixed' | 'pass' | 'target'
  readonly ip: string
  readonly bytes: number
  readonly target: string
}

function start (order: BareOrder): ReturnType<typeof createServer> {
  const body = Buffer.alloc(order.bytes, 'x')
  if (order.kind !== 'pass') {
    return createServer((_, res) => {
      res.writeHead(200, { 'content-type': 'application/json', 'content-length': body.length }).end(body)
    })
  }
  const pool = new Pool(`http://${order.target}`, { connections: 64 })
  return createServer((req, res) => {
    pool.request({ method: 'GET', path: req.url ?? '/', headers: { 'x-echo': String(req.headers['x-echo']) } })
      .then(async answer => {
        const bytes = Buffer.from(await answer.body.arrayBuffer())
        res.writeHead(answer.statusCode, { 'content-length': bytes.length }).end(bytes)
      })
      .catch(() => res.writeHead(502).end())
  })
}

answerOrders<BareOrder>(async order => {
  const server = start(order)
  server.keepAliveTimeout = 60_000
  await new Promise<void>(resolve => server.listen(0, order.ip, resolve))
  return { address: `${order.ip}:${(server.address() as AddressInfo).port}` }
})
