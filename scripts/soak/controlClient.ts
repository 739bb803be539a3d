/** How operators and servers of a soak reach the control VMs: any of them, again until the answer is clear. */
import { getErrorMessage } from '@lynxcourse/base'
import type { Random } from '@lynxcourse/base'
import { callPeer, createRpcClient } from '@lynxcourse/daemon'
import type { RpcClient } from '@lynxcourse/daemon'
import { sleep } from '../support/processes.js'

const callTimeoutMs = 1000
const retryDelayMs = 60

/** The control VMs as those outside reach them. */
export interface ControlClient {
  readonly rpc: RpcClient
  readonly addresses: readonly string[]
  readonly random: Random
}

export function createControlClient (addresses: readonly string[], random: Random): ControlClient {
  return { rpc: createRpcClient({ timeoutMs: callTimeoutMs, localAddress: '', tls: () => undefined, metrics: undefined }), addresses, random }
}

/** Calls one control VM after the other, beginning anywhere; the first answer counts. */
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

/** Calls until some control VM answers; undefined if none does in time. */
export async function callUntilAnswered<Result> (client: ControlClient, method: string, params: object, timeoutMs: number): Promise<Result | undefined> {
  const deadline = performance.now() + timeoutMs
  while (performance.now() < deadline) {
    try {
      return await callAny<Result>(client, method, params)
    } catch {
      // Faults are what a soak is about; the same order is sent again until one answer is clear.
      await sleep(retryDelayMs)
    }
  }
  return undefined
}
