/** How a fleet's entry VM reaches the control VMs about requests that end servers. */
import type { Millis, RequestFingerprint } from '@lynxcourse/base'
import type { TrialAnswer } from '@lynxcourse/placement'
import { CrashChannel } from '../crashes/crashChannel.js'
import type { CrashReport } from '../crashes/crashChannel.js'
import { callAnyControl } from './controlCalls.js'
import type { FleetNode } from './fleetNode.js'

export class FleetCrashChannel extends CrashChannel {
  readonly #node: FleetNode

  constructor (node: FleetNode) {
    super()
    this.#node = node
  }

  override get timeoutMs (): Millis {
    return this.#node.cfg.times.rpcTimeoutMs
  }

  override async report (report: CrashReport, deadline: Millis): Promise<void> {
    await callAnyControl(this.#node, 'fleet.reportServerEnds', report, deadline)
  }

  override async claimTrial (request: RequestFingerprint, forMs: Millis, deadline: Millis): Promise<TrialAnswer> {
    return await callAnyControl<TrialAnswer>(this.#node, 'fleet.claimTrial', { request, forMs, isRelayed: false }, deadline)
  }

  override async cancelTrial (request: RequestFingerprint, deadline: Millis): Promise<void> {
    await callAnyControl(this.#node, 'fleet.cancelTrial', { request, isRelayed: false }, deadline)
  }
}
