/** JSON-RPC 2.0 server over HTTP for other VMs, operators and backend servers. */
import { createServer } from 'node:http'
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import type { TLSSocket } from 'node:tls'
import { JSONRPCErrorCode, JSONRPCServer, createJSONRPCErrorResponse } from 'json-rpc-2.0'
import type { JSONRPCResponse } from 'json-rpc-2.0'
import { LynxError, isLynxError, getErrorMessage } from '@lynxcourse/base'
import type { z } from 'zod'
import { createByteBudget, openTakenBytes } from '../../utils/byteBudget.js'
import type { ByteBudget } from '../../utils/byteBudget.js'
import type { Metrics } from '../../utils/metrics.js'
import { GuardedResponse } from '../../utils/connections/guardedResponse.js'
import { CancelSignal } from '../../utils/cancelSignal.js'
import { getCurrentTime } from '../../utils/clock.js'
import { listen, readBody } from '../../utils/httpServer.js'
import type { LoopMonitor } from '../../utils/loopMonitor.js'
import { createRateLimit, takeToken } from '../../utils/rateLimit.js'
import type { RateLimit } from '../../utils/rateLimit.js'
import { checkSenderConnected } from '../../utils/senderCheck.js'
import type { TlsFiles } from '../../plugins/tlsFiles.js'
import { decompressText, getUnpackedSize, supportedEncoding } from './compression.js'
import { SharedResult, encodeSharedResult, encodeText } from './sharedResult.js'
import type { MessageParts } from './sharedResult.js'

/**
 * The sender of a call, identified by the common name of its certificate: `vm:NAME`, `operator:NAME` or `server:NAME`.
 */
export interface RpcCaller {
  readonly role: 'vm' | 'operator' | 'server' | 'loopback'
  readonly name: string
  readonly address: string
}

/** A call in progress. */
export interface RpcCall extends RpcCaller {
  /**
   * Waits for the next poll of the caller's connection, which reads a close that already arrived. Methods use it if a
   * late answer is useless or a late effect is harmful. Methods that record facts don't need it: these stay true after
   * the caller disconnects.
   *
   * @throws LynxError `cancelled` if the caller closed the connection
   */
  readonly ensureConnected: () => Promise<void>
  /** Length of the uncompressed message. */
  readonly size: number
  /** Aborted when the connection closes or the response has been sent. */
  readonly gone: CancelSignal
}

export type RpcHandler<Params> = (params: Params, call: RpcCall) => unknown

export interface RpcServer {
  readonly server: Server
  readonly methods: JSONRPCServer<RpcCall>
  readonly metrics: Metrics
  readonly limits: RpcLimits
  readonly rateLimit: RateLimit
  readonly loop: LoopMonitor
  /** Large messages that are being received or processed. */
  readonly received: ByteBudget
  /** Large answers that are not sent yet. */
  readonly sent: ByteBudget
}

/** JSON-RPC error code of all LynxErrors; `data` has the details. */
const applicationErrorCode = -32000
const maxHeaderBytes = 16_384
const wireCountIntervalMs = 1000
/** Messages and answers up to this size are not counted: reports of the presence of VMs and servers must not be refused. */
const smallMessageBytes = 65_536
/**
 * Maximum size of the large messages in progress, in bytes of their text. The objects of a message take several times as much. A larger
 * message is processed while there is no other.
 */
const maxReceivedBytes = 4_194_304
/** Maximum size of the large answers that are not sent yet. */
const maxSentBytes = 16_777_216

/** Limits on incoming messages. */
export interface RpcLimits {
  readonly maxBytes: number
  /** Maximum number of messages per second from one address. */
  readonly perSecond: number
}

/** Creates the server. Its methods have to be added before it listens. */
export function createRpcServer (limits: RpcLimits, metrics: Metrics, tls: TlsFiles | undefined, loop: LoopMonitor): RpcServer {
  const methods = new JSONRPCServer<RpcCall>({ errorListener: () => undefined })
  methods.mapErrorToJSONRPCErrorResponse = (id, err) => {
    const data = isLynxError(err) ? { code: err.code, step: err.step, field: err.field, peer: err.peer } : undefined
    const code = data === undefined ? JSONRPCErrorCode.InternalError : applicationErrorCode
    return createJSONRPCErrorResponse(id, code, getErrorMessage(err), data)
  }
  const listener: RequestListener = (req, res) => {
    handleRequest(rpc, req, res).catch((err: unknown) => sendError(res, metrics, err))
  }
  const options = { ServerResponse: GuardedResponse, maxHeaderSize: maxHeaderBytes, requestTimeout: 30_000, headersTimeout: 10_000 }
  const server = tls === undefined
    ? createServer(options, listener)
    : createTlsServer({ ...options, ...tls.current, requestCert: true, rejectUnauthorized: true }, listener)
  if (tls !== undefined) tls.onChange(files => (server as unknown as { setSecureContext: (o: object) => void }).setSecureContext(files))
  countWireBytes(server, metrics)
  const rpc: RpcServer = { server, methods, metrics, limits, rateLimit: createRateLimit(limits.perSecond), loop, received: createByteBudget(maxReceivedBytes), sent: createByteBudget(maxSentBytes) }
  return rpc
}

function sendError (res: ServerResponse, metrics: Metrics, err: unknown): void {
  metrics.refusals.inc({ reason: isLynxError(err) ? err.code : 'badRpc' })
  if (res.headersSent) {
    res.destroy()
    return
  }
  const status = isLynxError(err, 'tooLarge') ? 413 : isLynxError(err, 'notAllowed') ? 403 : isLynxError(err, 'overCapacity') ? 429 : 400
  const body = createJSONRPCErrorResponse(null, JSONRPCErrorCode.ParseError, getErrorMessage(err))
  res.writeHead(status, { 'content-type': 'application/json', connection: 'close' }).end(JSON.stringify(body))
}

async function handleRequest (rpc: RpcServer, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const { methods, limits: { maxBytes }, rateLimit, loop } = rpc
  if (req.method !== 'POST' || req.url !== '/rpc') throw new LynxError('badRpc', 'expected POST /rpc', { step: 'receive' })
  const caller = identifyCaller(req)
  if (!takeToken(rateLimit, caller.address, getCurrentTime())) {
    throw new LynxError('overCapacity', `more than ${rateLimit.perSecond} messages per second`, { step: 'receive', peer: caller.address })
  }
  using taken = openTakenBytes(rpc.received, 'receive', smallMessageBytes)
  const body = await readBody(req, maxBytes, taken)
  const encoding = req.headers['content-encoding']
  const size = Math.min(maxBytes, getUnpackedSize(body, encoding))
  taken.take(Math.max(0, size - body.length))
  const ensureConnected = async (): Promise<void> => await checkSenderConnected(loop.polls, req.socket, 'receive')
  const gone = new CancelSignal()
  res.once('close', () => gone.abort())
  const message = decompressText(body, encoding, Math.max(1, size))
  const answer = await methods.receiveJSON(message, { ...caller, ensureConnected, gone, size })
  const { parts, isPacked, ownBytes } = encodeAnswer(answer, req.headers['accept-encoding']?.toString())
  countUntilSent(rpc, res, ownBytes)
  const contentLength = parts.reduce((sum, part) => sum + part.length, 0)
  res.writeHead(200, { 'content-type': 'application/json', 'accept-encoding': supportedEncoding, 'content-length': contentLength, ...(isPacked ? { 'content-encoding': supportedEncoding } : {}) })
  for (const part of parts) res.write(part)
  res.end()
}

function encodeAnswer (answer: JSONRPCResponse | JSONRPCResponse[] | null, acceptedEncodings: string | undefined): MessageParts {
  const result: unknown = Array.isArray(answer) ? undefined : answer?.result
  if (result instanceof SharedResult) return encodeSharedResult((answer as JSONRPCResponse).id, result, acceptedEncodings)
  return encodeText(JSON.stringify(answer ?? null), acceptedEncodings)
}

/**
 * Counts a large answer until its caller has taken it.
 *
 * @throws LynxError `overCapacity` if the answers that are not sent yet are too large already
 */
function countUntilSent ({ sent }: RpcServer, res: ServerResponse, bytes: number): void {
  const taken = openTakenBytes(sent, 'answer', smallMessageBytes)
  taken.take(bytes)
  res.once('close', () => taken[Symbol.dispose]())
}

/** Counts the bytes of each connection periodically and when it closes. */
function countWireBytes (server: Server, metrics: Metrics): void {
  server.on('connection', socket => {
    let countedIn = 0
    let countedOut = 0
    const count = (): void => {
      metrics.rpcWireBytes.inc({ direction: 'in' }, socket.bytesRead - countedIn)
      metrics.rpcWireBytes.inc({ direction: 'out' }, socket.bytesWritten - countedOut)
      countedIn = socket.bytesRead
      countedOut = socket.bytesWritten
    }
    const timer = setInterval(count, wireCountIntervalMs)
    timer.unref()
    socket.once('close', () => {
      clearInterval(timer)
      count()
    })
  })
}

/** Identifies the caller by its certificate; without TLS the daemon listens on loopback only. */
function identifyCaller (req: IncomingMessage): RpcCaller {
  const address = req.socket.remoteAddress ?? ''
  const socket = req.socket as TLSSocket
  if (socket.encrypted !== true) return { role: 'loopback', name: address, address }
  const [role, name] = String(socket.getPeerCertificate().subject?.CN ?? '').split(':')
  if ((role !== 'vm' && role !== 'operator' && role !== 'server') || name === undefined || name === '') {
    throw new LynxError('notAllowed', 'the certificate names no vm:, operator: or server:', { step: 'receive', peer: address })
  }
  return { role, name, address }
}

/**
 * Adds a method.
 *
 * @param roles roles that may call the method; callers on loopback without TLS may call every method
 * @param schema validates the parameters; the error for invalid parameters names the field
 */
export function addMethod<Schema extends z.ZodType> (
  rpc: RpcServer, name: string, roles: ReadonlyArray<RpcCaller['role']>, schema: Schema, handler: RpcHandler<z.output<Schema>>
): void {
  rpc.methods.addMethod(name, async (params: unknown, call: RpcCall) => {
    rpc.metrics.rpc.inc({ method: name, side: 'in' })
    if (call.role !== 'loopback' && !roles.includes(call.role)) {
      rpc.metrics.refusals.inc({ reason: 'notAllowed' })
      throw new LynxError('notAllowed', `${call.role}:${call.name} may not call ${name}`, { step: name, peer: call.name })
    }
    const parsed = schema.safeParse(params ?? {})
    if (!parsed.success) {
      const issue = parsed.error.issues[0]
      const field = issue?.path.join('.') ?? ''
      rpc.metrics.refusals.inc({ reason: 'badRequest' })
      throw new LynxError('badRequest', `${field}: ${issue?.message}`, { step: name, field })
    }
    return await handler(parsed.data, call)
  })
}

/** Starts to listen on an address. */
export async function listenRpc (rpc: RpcServer, address: string): Promise<void> {
  await listen(rpc.server, address)
}
