/** JSON-RPC 2.0 over HTTP for other VMs and operators. */
import { createServer } from 'node:http'
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import type { TLSSocket } from 'node:tls'
import { JSONRPCErrorCode, JSONRPCServer, createJSONRPCErrorResponse } from 'json-rpc-2.0'
import { LynxError, isLynxError, getErrorMessage } from '@lynxcourse/base'
import type { z } from 'zod'
import type { Metrics } from '../../utils/metrics.js'
import { CancelSignal } from '../../utils/cancelSignal.js'
import { getCurrentTime } from '../../utils/clock.js'
import { listen, readBody } from '../../utils/httpServer.js'
import type { LoopMonitor } from '../../utils/loopMonitor.js'
import { createRateLimit, takeToken } from '../../utils/rateLimit.js'
import type { RateLimit } from '../../utils/rateLimit.js'
import { checkSenderConnected } from '../../utils/senderCheck.js'
import type { TlsFiles } from '../../plugins/tlsFiles.js'
import { isWorthPacking, packText, packedCoding } from './compression.js'

/** Who calls, by the certificate's name: `vm:NAME`, `operator:NAME` or `server:NAME`. */
export interface RpcCaller {
  readonly role: 'vm' | 'operator' | 'server' | 'loopback'
  readonly name: string
  readonly address: string
}

/** A call that a method works on. */
export interface RpcCall extends RpcCaller {
  /**
   * Waits for a look at the caller's connection. For methods whose late answers are of no use, or whose late effects do harm; what
   * stays true without its sender is taken without a look.
   *
   * @throws LynxError `cancelled` if the caller closed it
   */
  readonly look: () => Promise<void>
  /** Aborted once the caller closed its connection, or has its answer. */
  readonly gone: CancelSignal
}

export type RpcHandler<Params> = (params: Params, call: RpcCall) => unknown

export interface RpcServer {
  readonly server: Server
  readonly methods: JSONRPCServer<RpcCall>
  readonly metrics: Metrics
}

/** Error code of JSON-RPC for errors of this system; the detail is in `data`. */
const applicationErrorCode = -32000
const maxHeaderBytes = 16_384
const wireCountMs = 1000

/** Bounds of what the server takes. */
export interface RpcLimits {
  readonly maxBytes: number
  /** From one address. */
  readonly perSecond: number
}

/** Makes the server; add its methods before it listens. */
export function createRpcServer (limits: RpcLimits, metrics: Metrics, tls: TlsFiles | undefined, loop: LoopMonitor): RpcServer {
  const methods = new JSONRPCServer<RpcCall>({ errorListener: () => undefined })
  methods.mapErrorToJSONRPCErrorResponse = (id, err) => {
    const data = isLynxError(err) ? { code: err.code, step: err.step, field: err.field, peer: err.peer } : undefined
    const code = data === undefined ? JSONRPCErrorCode.InternalError : applicationErrorCode
    return createJSONRPCErrorResponse(id, code, getErrorMessage(err), data)
  }
  const rate = createRateLimit(limits.perSecond)
  const listener: RequestListener = (req, res) => {
    answerRpc(methods, limits.maxBytes, rate, loop, req, res).catch((err: unknown) => refuse(res, metrics, err))
  }
  const options = { maxHeaderSize: maxHeaderBytes, requestTimeout: 30_000, headersTimeout: 10_000 }
  const server = tls === undefined
    ? createServer(options, listener)
    : createTlsServer({ ...options, ...tls.current, requestCert: true, rejectUnauthorized: true }, listener)
  if (tls !== undefined) tls.onChange(files => (server as unknown as { setSecureContext: (o: object) => void }).setSecureContext(files))
  countWireBytes(server, metrics)
  return { server, methods, metrics }
}

function refuse (res: ServerResponse, metrics: Metrics, err: unknown): void {
  metrics.refusals.inc({ reason: isLynxError(err) ? err.code : 'badRpc' })
  if (res.headersSent) {
    res.destroy()
    return
  }
  const status = isLynxError(err, 'tooLarge') ? 413 : isLynxError(err, 'notAllowed') ? 403 : isLynxError(err, 'overCapacity') ? 429 : 400
  const body = createJSONRPCErrorResponse(null, JSONRPCErrorCode.ParseError, getErrorMessage(err))
  res.writeHead(status, { 'content-type': 'application/json', connection: 'close' }).end(JSON.stringify(body))
}

async function answerRpc (methods: JSONRPCServer<RpcCall>, maxBytes: number, rate: RateLimit, loop: LoopMonitor, req: IncomingMessage, res: ServerResponse): Promise<void> {
  if (req.method !== 'POST' || req.url !== '/rpc') throw new LynxError('badRpc', 'expected POST /rpc', { step: 'receive' })
  const caller = callerOf(req)
  if (!takeToken(rate, caller.address, getCurrentTime())) {
    throw new LynxError('overCapacity', `more than ${rate.perSecond} messages a second`, { step: 'receive', peer: caller.address })
  }
  const body = await readBody(req, maxBytes)
  const look = async (): Promise<void> => await checkSenderConnected(loop.polls, req.socket, 'receive')
  const gone = new CancelSignal()
  res.once('close', () => gone.abort())
  const answer = await methods.receiveJSON(body.toString('utf8'), { ...caller, look, gone })
  const text = JSON.stringify(answer ?? null)
  const type = { 'content-type': 'application/json' }
  if (isWorthPacking(req.headers['accept-encoding']?.toString(), text.length)) {
    res.writeHead(200, { ...type, 'content-encoding': packedCoding }).end(packText(text))
    return
  }
  res.writeHead(200, type).end(text)
}

/** Counts all bytes of a connection when it closes and whenever a request ends on it. */
function countWireBytes (server: Server, metrics: Metrics): void {
  server.on('connection', socket => {
    let read = 0
    let written = 0
    const count = (): void => {
      metrics.rpcWireBytes.inc({ direction: 'in' }, socket.bytesRead - read)
      metrics.rpcWireBytes.inc({ direction: 'out' }, socket.bytesWritten - written)
      read = socket.bytesRead
      written = socket.bytesWritten
    }
    const timer = setInterval(count, wireCountMs)
    timer.unref()
    socket.once('close', () => {
      clearInterval(timer)
      count()
    })
  })
}

/** Tells callers apart by certificate; without TLS the daemon only listens on loopback. */
function callerOf (req: IncomingMessage): RpcCaller {
  const address = req.socket.remoteAddress ?? ''
  const socket = req.socket as TLSSocket
  if (socket.encrypted !== true) return { role: 'loopback', name: address, address }
  const [role, name] = String(socket.getPeerCertificate().subject?.CN ?? '').split(':')
  if ((role !== 'vm' && role !== 'operator' && role !== 'server') || name === undefined || name === '') {
    throw new LynxError('notAllowed', 'certificate names no vm:, operator: or server:', { step: 'receive', peer: address })
  }
  return { role, name, address }
}

/**
 * Adds a method.
 *
 * @param roles who may call it; callers on loopback without TLS may call all
 * @param schema checks the parameters, so that an error names the field
 */
export function addMethod<Schema extends z.ZodType> (
  rpc: RpcServer, name: string, roles: ReadonlyArray<RpcCaller['role']>, schema: Schema, handler: RpcHandler<z.output<Schema>>
): void {
  rpc.methods.addMethod(name, async (params: unknown, caller: RpcCall) => {
    rpc.metrics.rpc.inc({ method: name, side: 'in' })
    if (caller.role !== 'loopback' && !roles.includes(caller.role)) {
      rpc.metrics.refusals.inc({ reason: 'notAllowed' })
      throw new LynxError('notAllowed', `${caller.role}:${caller.name} may not call ${name}`, { step: name, peer: caller.name })
    }
    const checked = schema.safeParse(params ?? {})
    if (!checked.success) {
      const issue = checked.error.issues[0]
      const field = issue?.path.join('.') ?? ''
      rpc.metrics.refusals.inc({ reason: 'badRequest' })
      throw new LynxError('badRequest', `${field}: ${issue?.message}`, { step: name, field })
    }
    return await handler(checked.data, caller)
  })
}

/** Starts to listen. */
export async function listenRpc (rpc: RpcServer, address: string): Promise<void> {
  await listen(rpc.server, address)
}
