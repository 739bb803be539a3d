/** The HTTP server for callers and backend servers. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { LynxError, getErrorMessage } from '@lynxcourse/base'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { recordAcceptedConnection } from '../../utils/loopMonitor.js'
import type { Syncing } from '../node/syncing.js'
import { announcePath, answerAnnouncement } from './announcements.js'
import type { EntryState } from './entry.js'
import { refusalAnswer, writeAnswer } from './finalAnswers.js'
import { forward } from './forwarding.js'
import { servicePath } from './serviceRequest.js'
import { answerLookup, lookupPath } from './lookups.js'

const headersTimeoutMs = 10_000
const requestTimeoutMs = 60_000
const keepAliveTimeoutMs = 15_000

/** Makes the server; slow or broken senders are cut off by Node's own time-outs. */
export function createCallerServer (entry: EntryState, syncing: Syncing): Server {
  const { limits } = entry.node.cfg
  const server = createServer({
    maxHeaderSize: limits.maxHeaderBytes,
    headersTimeout: headersTimeoutMs,
    requestTimeout: requestTimeoutMs,
    keepAliveTimeout: keepAliveTimeoutMs
  }, (req, res) => handle(entry, syncing, req, res))
  server.maxConnections = limits.maxConnections
  server.on('connection', (socket: Socket) => {
    recordAcceptedConnection(entry.loop, socket, getCurrentTime())
    // Each of its open requests listens for its end.
    socket.setMaxListeners(0)
  })
  return server
}

function handle (entry: EntryState, syncing: Syncing, req: IncomingMessage, res: ServerResponse): void {
  const url = req.url ?? ''
  if (entry.leaving) res.shouldKeepAlive = false
  if (url.startsWith(lookupPath)) {
    answerLookup(entry, req, res)
    return
  }
  const work = url.startsWith(servicePath)
    ? forward(entry, req, res)
    : url === announcePath && req.method === 'POST'
      ? answerAnnouncement(entry, syncing, req, res)
      : writeAnswer(entry.node, res, refusalAnswer(notFound(url)))
  work.catch((err: unknown) => {
    log(entry.node.logs, 'daemon', 'error', 'Request failed.', { error: getErrorMessage(err) })
    res.destroy()
  })
}

function notFound (url: string): Error {
  return new LynxError('notFound', `path '${url.slice(0, 100)}'`, { step: 'receive', field: 'path' })
}
