/** The HTTP server for callers and backend servers. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { LynxError, getErrorMessage } from '@lynxcourse/base'
import { getCurrentTime } from '../../utils/clock.js'
import { guardServer } from '../../utils/connections/connectionGuard.js'
import { GuardedResponse } from '../../utils/connections/guardedResponse.js'
import { log } from '../../utils/logging.js'
import { recordAcceptedConnection } from '../../utils/loopMonitor.js'
import type { Syncing } from '../node/syncing.js'
import { announcePath, answerAnnouncement } from './announcements.js'
import type { EntryState } from './entry.js'
import { createRefusal, writeAnswer } from './finalAnswers.js'
import { forwardRequest } from './forwarding.js'
import { servicePath } from './serviceRequest.js'
import { answerLookup, lookupPath } from './lookups.js'

const headersTimeoutMs = 10_000
const requestTimeoutMs = 60_000
const keepAliveTimeoutMs = 15_000

/** Creates the server. Node's own timeouts close the connections of slow or broken senders. */
export function createCallerServer (entry: EntryState, syncing: Syncing): Server {
  const { cfg: { limits }, guard } = entry.node
  const server = createServer({
    ServerResponse: GuardedResponse,
    maxHeaderSize: limits.maxHeaderBytes,
    headersTimeout: headersTimeoutMs,
    requestTimeout: requestTimeoutMs,
    keepAliveTimeout: keepAliveTimeoutMs
  }, (req, res) => handleRequest(entry, syncing, req, res))
  guardServer(guard, server, 'callers', limits.maxConnections)
  server.on('connection', (socket: Socket) => {
    recordAcceptedConnection(entry.loop, socket, getCurrentTime())
    // Each request in progress on the socket adds listeners.
    socket.setMaxListeners(0)
  })
  return server
}

function handleRequest (entry: EntryState, syncing: Syncing, req: IncomingMessage, res: ServerResponse): void {
  const url = req.url ?? ''
  if (url.startsWith(lookupPath)) {
    answerLookup(entry, req, res)
    return
  }
  const work = url.startsWith(servicePath)
    ? forwardRequest(entry, req, res)
    : url === announcePath && req.method === 'POST'
      ? answerAnnouncement(entry, syncing, req, res)
      : writeAnswer(entry.node, res, createRefusal(createNotFoundError(url)))
  work.catch((err: unknown) => {
    log(entry.node.logs, 'daemon', 'error', 'Request failed.', { error: getErrorMessage(err) })
    res.destroy()
  })
}

function createNotFoundError (url: string): Error {
  return new LynxError('notFound', `path '${url.slice(0, 100)}'`, { step: 'receive', field: 'path' })
}
