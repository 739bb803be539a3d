/** JSON-RPC 2.0 over HTTP to other VMs. Every call has a time-out; errors name the step and the peer. */
import { JSONRPCClient } from 'json-rpc-2.0'
import type { JSONRPCResponse } from 'json-rpc-2.0'
import { Pool, buildConnector } from 'undici'
import type { Dispatcher } from 'undici'
import { LynxError, errorTemplates, isLynxError, getErrorMessage } from '@lynxcourse/base'
import type { ErrorCode, Millis } from '@lynxcourse/base'
import type { Metrics } from '../../utils/metrics.js'
import { resetIfUnanswered } from '../../utils/resetIfUnanswered.js'
import { packedCoding, unpackText } from './compression.js'

/** What a client needs to reach other VMs. */
export interface RpcClientCfg {
  readonly timeoutMs: Millis
  /** The address that calls come from; empty for any. */
  readonly localAddress: string
  /** TLS material; without it, plain HTTP. */
  readonly tls: () => { readonly cert: string, readonly key: string, readonly ca: string } | undefined
  readonly metrics: Metrics | undefined
}

export interface RpcClient extends AsyncDisposable {
  readonly cfg: RpcClientCfg
  readonly pools: Map<string, Pool>
}

const maxConnectionsPerPeer = 16
const maxPeers = 256
/** Largest answer that is unpacked; more than the whole state at the target size (docs/CAPACITY.md). */
const maxAnswerBytes = 67_108_864

export function createRpcClient (cfg: RpcClientCfg): RpcClient {
  const client: RpcClient = { cfg, pools: new Map(), [Symbol.asyncDispose]: async () => await closeClient(client) }
  return client
}

async function closeClient (client: RpcClient): Promise<void> {
  await Promise.all([...client.pools.values()].map(async pool => await pool.destroy()))
}

function poolFor (client: RpcClient, address: string): Pool {
  const known = client.pools.get(address)
  if (known !== undefined) return known
  dropOldestPool(client)
  const tls = client.cfg.tls()
  const local = client.cfg.localAddress === '' ? {} : { localAddress: client.cfg.localAddress }
  const connect = buildConnector({ ...tls, timeout: client.cfg.timeoutMs, checkServerIdentity: () => undefined })
  const pool = new Pool(`${tls === undefined ? 'http' : 'https'}://${address}`, {
    connections: maxConnectionsPerPeer,
    ...local,
    connect: tls === undefined ? resettingConnector(connect) : connect,
    // Each call ends by its own time-out: one of the pool's would cut calls that may take longer.
    headersTimeout: 0,
    bodyTimeout: 0
  })
  client.pools.set(address, pool)
  return pool
}

/** Calls that were given up must not be taken later: what they ask for may have been undone by then. */
function resettingConnector (connect: buildConnector.connector): buildConnector.connector {
  return (options, callback) => connect(options, (...result) => {
    if (result[0] === null) resetIfUnanswered(result[1])
    callback(...result)
  })
}

function dropOldestPool (client: RpcClient): void {
  if (client.pools.size < maxPeers) return
  const [oldest] = client.pools
  if (oldest === undefined) return
  client.pools.delete(oldest[0])
  oldest[1].close().catch(() => undefined)
}

/** Forgets all connections, so that the next calls use new TLS files. */
export function refreshPools (client: RpcClient): void {
  for (const pool of client.pools.values()) pool.close().catch(() => undefined)
  client.pools.clear()
}

/**
 * Calls a method of a peer.
 *
 * @throws LynxError `peerFailed` when it can't be reached in time, else the peer's own error
 */
export async function callPeer<Result> (client: RpcClient, address: string, method: string, params: object, timeoutMs?: Millis): Promise<Result> {
  client.cfg.metrics?.rpc.inc({ method, side: 'out' })
  const pool = poolFor(client, address)
  const rpc: JSONRPCClient = new JSONRPCClient(async request => {
    const body = JSON.stringify(request)
    client.cfg.metrics?.rpcBytes.inc({ direction: 'out' }, body.length)
    const text = await post(pool, body, timeoutMs ?? client.cfg.timeoutMs)
    client.cfg.metrics?.rpcBytes.inc({ direction: 'in' }, text.length)
    const response = JSON.parse(text) as JSONRPCResponse
    // An answer to nobody would leave the caller waiting for ever.
    if (response.id !== request.id) throw new LynxError('peerFailed', getErrorMessage(response.error), { step: method, peer: address })
    rpc.receive(response)
  })
  try {
    return await rpc.request(method, params) as Result
  } catch (err) {
    throw rebuildError(err, method, address)
  }
}

async function post (pool: Pool, body: string, timeoutMs: Millis): Promise<string> {
  const options: Dispatcher.RequestOptions = {
    method: 'POST',
    path: '/rpc',
    headers: { 'content-type': 'application/json', 'accept-encoding': packedCoding },
    body,
    signal: AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs)))
  }
  const res = await pool.request(options)
  const received = Buffer.from(await res.body.arrayBuffer())
  const text = unpackText(received, res.headers['content-encoding']?.toString(), maxAnswerBytes)
  if (res.statusCode !== 200) throw refusalOf(res.statusCode, text)
  return text
}

/** The error behind a message that the peer did not take as RPC at all. */
function refusalOf (status: number, text: string): LynxError {
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
