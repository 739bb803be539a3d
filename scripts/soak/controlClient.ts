/** Client of the control VMs for operators and servers: tries them in turn, and retries until one answers. */
import { getErrorMessage } from '@lynxcourse/base'
import type { Random } from '@lynxcourse/base'
import { callPeer, createRpcClient } from '@lynxcourse/daemon'
import type { RpcClient } from '@lynxcourse/daemon'
import { sleep } from '../support/processes.js'

const callTimeoutMs = 1000
const retryDelayMs = 60

/** An RPC client and the addresses of the control VMs. */
export interface ControlClient {
  readonly rpc: RpcClient
  readonly addresses: readonly string[]
  readonly random: Random
}

export function createControlClient (addresses: readonly string[], random: Random): ControlClient {
  return { rpc: createRpcClient({ timeoutMs: callTimeoutMs, localAddress: '', tls: () => undefined, metrics: undefined }), addresses, random }
}

/** Calls the control VMs in turn, starting at a random one, and returns the first answer. Throws if none answers. */
export async function callAny<Result> (client: ControlClient, method: string, params: object): Promise<Result> {
  const first = Math.floor(client.random() * client.addresses.length)
  let lastError: unknown
  for (let offset = 0; offset < client.addresses.length; offset++) {
    const address = client.addresses[(first + offset) % client.addresses.length] ?? ''
    try {
      return await callPeer<Result>(client.rpc, address, method, params)
    } catch (err) {
      lastError = err
    }
  }
  throw new Error(`no control VM answered ${method}: ${getErrorMessage(lastError)}`, { cause: lastError })
}

/** Retries a call until a control VM answers; returns undefined if none answers in time. */
export async function callUntilAnswered<Result> (client: ControlClient, method: string, params: object, timeoutMs: number): Promise<Result | undefined> {
  const deadline = performance.now() + timeoutMs
  while (performance.now() < deadline) {
    try {
      return await callAny<Result>(client, method, params)
    } catch {
      // Failures are expected during a soak: the same call is retried until one attempt succeeds.
      await sleep(retryDelayMs)
    }
  }
  return undefined
}
