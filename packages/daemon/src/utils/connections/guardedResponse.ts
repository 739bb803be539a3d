/** Responses of guarded servers, including those that the HTTP server makes itself. */
import { ServerResponse } from 'node:http'
import type { IncomingMessage } from 'node:http'
import { getCurrentTime } from '../clock.js'
import { getGuardedConnection } from './guardedConnection.js'
import type { GuardedConnection } from './guardedConnection.js'
import { updateInput, wakeInput } from './inputGate.js'
import { updateUnsent } from './unsentAnswers.js'

/** Copies of a request's head in memory: its bytes, and the texts of its fields. */
const headCopies = 3

/** A response that counts as open from the time at which its request's head was read until it is sent. */
export class GuardedResponse<Request extends IncomingMessage = IncomingMessage> extends ServerResponse<Request> {
  constructor (...args: ConstructorParameters<typeof ServerResponse<Request>>) {
    super(...args)
    const connection = getGuardedConnection(this.req.socket)
    if (connection !== undefined) addResponse(connection, this)
  }

  override end (...args: unknown[]): this {
    super.end(...args as [])
    const connection = getGuardedConnection(this.req.socket)
    if (connection !== undefined) updateUnsent(connection, getCurrentTime())
    return this
  }
}

function addResponse (connection: GuardedConnection, res: ServerResponse): void {
  const { listener: { guard }, responses } = connection
  const headBytes = connection.headBytes * headCopies
  responses.set(res, headBytes)
  connection.openHeadBytes += headBytes
  connection.headBytes = 0
  connection.lastRequest = res.req
  connection.hadRequest = true
  connection.progressAt = getCurrentTime()
  guard.openRequests += 1
  res.once('close', () => removeResponse(connection, res))
}

function removeResponse (connection: GuardedConnection, res: ServerResponse): void {
  const headBytes = connection.responses.get(res)
  if (headBytes === undefined) return
  connection.responses.delete(res)
  connection.openHeadBytes -= headBytes
  connection.listener.guard.openRequests -= 1
  updateInput(connection)
  updateUnsent(connection, getCurrentTime())
  wakeInput(connection)
}
