/** How an entry VM of the service-addressed kind reaches the leader about requests that end servers. */
import { LynxError } from '@lynxcourse/base'
import type { Millis, RequestFingerprint } from '@lynxcourse/base'
import type { TrialAnswer } from '@lynxcourse/placement'
import { getCurrentTime } from '../../utils/clock.js'
import { CrashChannel } from '../crashes/crashChannel.js'
import type { CrashReport } from '../crashes/crashChannel.js'
import { getLeaderAddress } from '../node/node.js'
import type { Node } from '../node/node.js'
import { callPeer } from '../rpc/rpcClient.js'

export class ServiceCrashChannel extends CrashChannel {
  readonly #node: Node

  constructor (node: Node) {
    super()
    this.#node = node
  }

  override get timeoutMs (): Millis {
    return this.#node.cfg.times.rpcTimeoutMs
  }

  override async report (report: CrashReport, deadline: Millis): Promise<void> {
    await this.#callLeader('crashes.report', report, deadline)
  }

  override async claimTrial (request: RequestFingerprint, forMs: Millis, deadline: Millis): Promise<TrialAnswer> {
    return await this.#callLeader<TrialAnswer>('crashes.claimTrial', { request, forMs }, deadline)
  }

  override async cancelTrial (request: RequestFingerprint, deadline: Millis): Promise<void> {
    await this.#callLeader('crashes.cancelTrial', { request }, deadline)
  }

  async #callLeader<Result> (method: string, params: object, deadline: Millis): Promise<Result> {
    const leader = getLeaderAddress(this.#node)
    if (leader === '') throw new LynxError('notLeader', 'no leader is known', { step: method })
    const timeoutMs = Math.max(1, Math.min(this.timeoutMs, deadline - getCurrentTime()))
    return await callPeer<Result>(this.#node.client, leader, method, params, timeoutMs)
  }
}
