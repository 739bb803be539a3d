/** How an entry VM asks control VMs for permits. */
import type { Millis } from '@lynxcourse/base'
import type { PermitReply, PermitRequest } from '../control/permitIssuing.js'
import { rankControls } from '../fleet/fleetNode.js'
import type { FleetNode } from '../fleet/fleetNode.js'
import { callPeer } from '../rpc/rpcClient.js'

export abstract class PermitChannel {
  /** Returns the addresses of the control VMs, nearest first. */
  abstract listIssuers (): readonly string[]

  /** @throws LynxError if the control VM can't be reached, does not answer in time, or issues no permits now */
  abstract ask (address: string, requests: readonly PermitRequest[], timeoutMs: Millis): Promise<PermitReply>
}

export class FleetPermitChannel extends PermitChannel {
  readonly #node: FleetNode

  constructor (node: FleetNode) {
    super()
    this.#node = node
  }

  override listIssuers (): readonly string[] {
    return rankControls(this.#node, () => true)
  }

  override async ask (address: string, requests: readonly PermitRequest[], timeoutMs: Millis): Promise<PermitReply> {
    return await callPeer<PermitReply>(this.#node.client, address, 'fleet.takePermits', { requests }, timeoutMs)
  }
}
