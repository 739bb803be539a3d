/**
 * Answers bytes of a caller that are no request: malformed, over a limit, or incomplete for too long.
 *
 * By default Node's HTTP server writes such an answer at once. If an earlier request of the connection is at work, its caller takes that
 * answer for its own: a 408 then tells it that the request has not run.
 */
import { STATUS_CODES } from 'node:http'
import type { Socket } from 'node:net'
import { getErrorMessage } from '@lynxcourse/base'
import { closeLingering, discardInput } from '../../utils/lingeringClose.js'
import { log } from '../../utils/logging.js'
import { markClose } from './callerConnections.js'
import type { Gateway } from './gateway.js'
import { joinAsLast, leavePipeline, waitForEarlierAnswers } from './pipeline.js'

/** Answers by the code of the HTTP server's error; other malformed bytes get a 400. */
const statusByCode: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  ERR_HTTP_REQUEST_TIMEOUT: 408
}
const statusBadRequest = 400
const connectionFailures: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE', 'ETIMEDOUT'])

/**
 * Ends a connection after an error of its HTTP parser: once all earlier requests are answered, writes the answer to the bytes that
 * caused it, and closes the connection.
 */
export async function endInvalidConnection (gateway: Gateway, err: NodeJS.ErrnoException, socket: Socket): Promise<void> {
  if (socket.destroyed || gateway.invalid.has(socket)) return
  const { code = '' } = err
  if (connectionFailures.has(code)) {
    socket.destroy(err)
    return
  }
  gateway.invalid.add(socket)
  discardInput(socket)
  const status = statusByCode[code] ?? statusBadRequest
  const last = joinAsLast(gateway.pipelines, socket)
  log(gateway.node.logs, 'route', 'info', 'Bytes of a caller are no request.', { status, code, error: getErrorMessage(err), address: socket.remoteAddress, earlier: last.pipeline.requests.length - 1, isAnswered: last.isAnswered })
  if (!await waitForEarlierAnswers(last, 0)) {
    leavePipeline(last)
    // The caller has ended its side within a request, so the HTTP server doesn't end the other one.
    if (socket.readableEnded) socket.destroy()
    return
  }
  if (!last.isAnswered) socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  markClose(gateway, socket, 'invalid')
  leavePipeline(last)
  closeLingering(gateway.lingering, socket)
}
