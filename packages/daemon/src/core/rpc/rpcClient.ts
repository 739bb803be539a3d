/**
 * JSON-RPC 2.0 client for calls to other VMs over HTTP. Every call has a timeout; errors name the step and the peer.
 */
import { JSONRPCErrorException, createJSONRPCRequest } from 'json-rpc-2.0'
import type { JSONRPCResponse } from 'json-rpc-2.0'
import { Pool, buildConnector } from 'undici'
import { LynxError, errorTemplates, isLynxError, getErrorMessage, parseJson } from '@lynxcourse/base'
import type { ErrorCode, Millis } from '@lynxcourse/base'
import type { Metrics } from '../../utils/metrics.js'
import { resetIfUnanswered } from '../../utils/resetIfUnanswered.js'
import { compressText, decompressText, shouldCompress, supportedEncoding } from './compression.js'
import { postMessage } from './rpcPost.js'

/** Configuration of an RPC client. */
export interface RpcClientCfg {
  readonly timeoutMs: Millis
  /** Local address that connections are bound to; empty for any. */
  readonly localAddress: string
  /** Returns the TLS material; undefined for plain HTTP. */
  readonly tls: () => { readonly cert: string, readonly key: string, readonly ca: string } | undefined
  readonly metrics: Metrics | undefined
}

export interface RpcClient extends AsyncDisposable {
  readonly cfg: RpcClientCfg
  /** By the address of the peer, and whether they are those of `prioritizedMethods`. */
  readonly pools: Map<string, Pool>
  /** Content codings that each peer has said it accepts; a peer of an earlier version says nothing. */
  readonly acceptedEncodings: WeakMap<Pool, string>
}

/** Each HTTP request carries one call, so that all calls may have the same id. */
const requestId = 1
/** End of a request without parameters. */
const emptyParams = '{}}'
const maxConnectionsPerPeer = 16
const maxPools = 256
/**
 * Methods whose calls use connections of their own. Other calls may wait for a commit; the messages by which an entry is committed must not
 * wait behind them for a connection.
 */
const prioritizedMethods = new Set(['log.message'])
/** Maximum size of a decompressed response; more than the whole state at the target size (docs/CAPACITY.md). */
const maxResponseBytes = 67_108_864

export function createRpcClient (cfg: RpcClientCfg): RpcClient {
  const client: RpcClient = { cfg, pools: new Map(), acceptedEncodings: new WeakMap(), [Symbol.asyncDispose]: async () => await closeClient(client) }
  return client
}

async function closeClient (client: RpcClient): Promise<void> {
  await Promise.all([...client.pools.values()].map(async pool => await pool.destroy()))
}

function getPool (client: RpcClient, address: string, method: string): Pool {
  const key = `${address} ${prioritizedMethods.has(method) ? 'prioritized' : 'other'}`
  const existing = client.pools.get(key)
  if (existing !== undefined) return existing
  dropOldestPool(client)
  const tls = client.cfg.tls()
  const local = client.cfg.localAddress === '' ? {} : { localAddress: client.cfg.localAddress }
  const connect = buildConnector({ ...tls, timeout: client.cfg.timeoutMs, checkServerIdentity: () => undefined })
  const pool = new Pool(`${tls === undefined ? 'http' : 'https'}://${address}`, {
    connections: maxConnectionsPerPeer,
    ...local,
    connect: tls === undefined ? createResettingConnector(connect) : connect,
    // Each call has its own timeout; timeouts of the pool would abort calls that are allowed to take longer.
    headersTimeout: 0,
    bodyTimeout: 0
  })
  client.pools.set(key, pool)
  return pool
}

/**
 * Creates a connector whose connections are reset when they end with an unanswered call. The peer must not process an
 * abandoned call later, since its effect may have been reversed in the meantime.
 */
function createResettingConnector (connect: buildConnector.connector): buildConnector.connector {
  return (options, callback) => connect(options, (...result) => {
    if (result[0] === null) resetIfUnanswered(result[1])
    callback(...result)
  })
}

function dropOldestPool (client: RpcClient): void {
  if (client.pools.size < maxPools) return
  const [oldest] = client.pools
  if (oldest === undefined) return
  client.pools.delete(oldest[0])
  oldest[1].close().catch(() => undefined)
}

/** Closes all connections, so that later calls connect with the current TLS files. */
export function refreshPools (client: RpcClient): void {
  for (const pool of client.pools.values()) pool.close().catch(() => undefined)
  client.pools.clear()
}

/**
 * Calls a method of a peer.
 *
 * @param timeoutMs overrides the timeout of the client
 * @throws LynxError `peerFailed` if the peer can't be reached or doesn't answer in time, otherwise the error that the
 * peer returned
 */
export async function callPeer<Result> (client: RpcClient, address: string, method: string, params: object, timeoutMs?: Millis): Promise<Result> {
  return await sendCall<Result>(client, address, method, () => JSON.stringify(createJSONRPCRequest(requestId, method, params)), timeoutMs)
}

/** Calls a method of a peer like `callPeer`, with parameters that are JSON text. */
export async function callPeerWithText<Result> (client: RpcClient, address: string, method: string, params: string): Promise<Result> {
  const head = JSON.stringify(createJSONRPCRequest(requestId, method, {})).slice(0, -emptyParams.length)
  return await sendCall<Result>(client, address, method, () => `${head}${params}}`)
}

async function sendCall<Result> (client: RpcClient, address: string, method: string, createBody: () => string, timeoutMs?: Millis): Promise<Result> {
  client.cfg.metrics?.rpc.inc({ method, side: 'out' })
  const pool = getPool(client, address, method)
  try {
    const body = createBody()
    client.cfg.metrics?.rpcBytes.inc({ direction: 'out' }, body.length)
    const text = await post(client, pool, body, timeoutMs ?? client.cfg.timeoutMs)
    client.cfg.metrics?.rpcBytes.inc({ direction: 'in' }, text.length)
    const response = parseJson(text) as JSONRPCResponse
    if (response.id !== requestId) throw new LynxError('peerFailed', getErrorMessage(response.error), { step: method, peer: address })
    if (response.error !== undefined) throw new JSONRPCErrorException(response.error.message, response.error.code, response.error.data)
    return response.result as Result
  } catch (err) {
    throw rebuildError(err, method, address)
  }
}

async function post ({ acceptedEncodings }: RpcClient, pool: Pool, text: string, timeoutMs: Millis): Promise<string> {
  const isCompressed = shouldCompress(acceptedEncodings.get(pool), text.length)
  const message = isCompressed ? { body: compressText(text), encoding: supportedEncoding } : { body: text, encoding: undefined }
  const response = await postMessage(pool, message, timeoutMs)
  if (response.acceptedEncodings !== undefined) acceptedEncodings.set(pool, response.acceptedEncodings)
  const answer = decompressText(response.body, response.encoding, maxResponseBytes)
  if (response.status !== 200) throw createStatusError(response.status, answer)
  return answer
}

/** Creates the error for a response that the peer sent before it processed the message as RPC. */
function createStatusError (status: number, text: string): LynxError {
  const code = status === 403 ? 'notAllowed' : status === 413 ? 'tooLarge' : status === 429 ? 'overCapacity' : 'peerFailed'
  return new LynxError(code, `status ${status}: ${text.slice(0, 300)}`, { step: 'send' })
}

interface RemoteError { readonly data?: { readonly code?: string, readonly field?: string } }

function rebuildError (err: unknown, method: string, peer: string): LynxError {
  const data = (err as RemoteError).data
  const context = { step: method, peer, cause: err, ...(data?.field === undefined ? {} : { field: data.field }) }
  if (data?.code !== undefined && Object.hasOwn(errorTemplates, data.code)) {
    const code = data.code as ErrorCode
    const prefix = errorTemplates[code].replace('{detail}', '')
    return new LynxError(code, getErrorMessage(err).replace(prefix, ''), context)
  }
  if (isLynxError(err)) return err
  return new LynxError('peerFailed', `${peer}: ${getErrorMessage(err)}`, context)
}
