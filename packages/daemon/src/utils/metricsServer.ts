/** Serves a VM's metrics and its health: `/metrics`, `/healthz` (the process lives), `/readyz` (it may get callers). */
import { createServer } from 'node:http'
import type { Server, ServerResponse } from 'node:http'
import type { Metrics } from './metrics.js'

/** Makes the server; it does not listen yet. */
export function createMetricsServer (metrics: Metrics, isReady: () => boolean): Server {
  return createServer((req, res) => {
    switch (req.url) {
      case '/healthz':
        res.end('ok\n')
        break
      case '/readyz':
        writeReady(res, isReady())
        break
      case '/metrics':
        writeMetrics(res, metrics)
        break
      default:
        res.writeHead(404).end()
    }
  })
}

function writeReady (res: ServerResponse, isReady: boolean): void {
  res.writeHead(isReady ? 200 : 503).end(isReady ? 'ready\n' : 'the present state is not known, or the VM leaves\n')
}

function writeMetrics (res: ServerResponse, metrics: Metrics): void {
  metrics.registry.metrics().then(text => {
    res.setHeader('content-type', metrics.registry.contentType)
    res.end(text)
  }).catch(() => res.destroy())
}
