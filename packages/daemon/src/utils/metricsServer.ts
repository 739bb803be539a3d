/** HTTP server for a VM's metrics and health: `/metrics`, `/healthz` (the process is alive), `/readyz` (callers may use the VM). */
import { createServer } from 'node:http'
import type { Server, ServerResponse } from 'node:http'
import { GuardedResponse } from './connections/guardedResponse.js'
import type { Metrics } from './metrics.js'

/** Creates the server, which does not listen yet. */
export function createMetricsServer (metrics: Metrics, isReady: () => boolean): Server {
  return createServer({ ServerResponse: GuardedResponse }, (req, res) => {
    switch (req.url) {
      case '/healthz':
        res.end('ok\n')
        break
      case '/readyz':
        writeReadiness(res, isReady())
        break
      case '/metrics':
        writeMetrics(res, metrics)
        break
      default:
        res.writeHead(404).end()
    }
  })
}

function writeReadiness (res: ServerResponse, isReady: boolean): void {
  res.writeHead(isReady ? 200 : 503).end(isReady ? 'ready\n' : 'the present state is not known, or the VM leaves\n')
}

function writeMetrics (res: ServerResponse, metrics: Metrics): void {
  metrics.registry.metrics().then(text => {
    res.setHeader('content-type', metrics.registry.contentType)
    res.end(text)
  }).catch(() => res.destroy())
}
