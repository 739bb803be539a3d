/** Reports this VM's usages, configuration version and loads to the leader, and applies the grants in the answer. */
import { getErrorMessage } from '@lynxcourse/base'
import type { DrainId, HolderId, RegionId, ServiceId } from '@lynxcourse/base'
import { collectUsages, applyGrants } from '@lynxcourse/limits'
import type { Grant, Usage } from '@lynxcourse/limits'
import { listCaps } from '@lynxcourse/state'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { callPeer } from '../rpc/rpcClient.js'
import { getLeaderAddress } from './node.js'
import type { Node } from './node.js'
import { repeat } from './timers.js'

/** Number of requests in flight that a drain waits for. */
export interface DrainRemaining {
  readonly drain: DrainId
  readonly count: number
}

/** Number of a service's requests in flight to the servers of a region. */
export interface RegionLoad {
  readonly service: ServiceId
  readonly region: RegionId
  readonly inFlight: number
}

/** A VM's report to the leader. */
export interface VmReport {
  readonly holder: HolderId
  /** Highest log index of the leader among the answers that this VM has applied. */
  readonly serial: number
  readonly usages: readonly Usage[]
  /** Configuration version in force. */
  readonly version: number
  readonly remaining: readonly DrainRemaining[]
  readonly loads: readonly RegionLoad[]
}

/** The leader's answer to a report. */
export interface ReportReply {
  readonly serial: number
  readonly grants: readonly Grant[]
}

/** The entry role's part of a report. */
export interface ReportSource {
  remaining (): DrainRemaining[]
  loads (): RegionLoad[]
}

/** Starts to report at regular intervals. */
export function startReporting (node: Node, source: ReportSource): AsyncDisposable {
  return repeat(node.cfg.times.reportMs, async () => await reportOnce(node, source), err => {
    log(node.logs, 'limit', 'warn', 'Report failed.', { peer: node.leader, error: getErrorMessage(err) })
  })
}

async function reportOnce (node: Node, source: ReportSource): Promise<void> {
  const leader = getLeaderAddress(node)
  if (leader === '') return
  const requestedAt = getCurrentTime()
  const report: VmReport = {
    holder: node.holder,
    serial: node.limits.serial,
    usages: collectUsages(node.limits, listCaps(node.config).keys()),
    version: node.config.version,
    remaining: source.remaining(),
    loads: source.loads()
  }
  const reply = await callPeer<ReportReply>(node.client, leader, 'leader.report', report)
  applyGrants(node.limits, reply.serial, reply.grants, requestedAt)
}
