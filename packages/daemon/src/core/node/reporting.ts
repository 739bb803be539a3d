/** Reports to the leader what this VM uses, holds and has in flight, and takes its grants over. */
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

/** Requests in flight that a drain waits for. */
export interface DrainRemaining {
  readonly drain: DrainId
  readonly count: number
}

/** Requests in flight of a service to a region's servers. */
export interface RegionLoad {
  readonly service: ServiceId
  readonly region: RegionId
  readonly inFlight: number
}

/** What a VM tells the leader. */
export interface VmReport {
  readonly holder: HolderId
  /** Highest grantor's number taken. */
  readonly serial: number
  readonly usages: readonly Usage[]
  /** Configuration version in force. */
  readonly version: number
  readonly remaining: readonly DrainRemaining[]
  readonly loads: readonly RegionLoad[]
}

export interface ReportReply {
  readonly serial: number
  readonly grants: readonly Grant[]
}

/** What the entry part adds to a report. */
export interface ReportSource {
  remaining (): DrainRemaining[]
  loads (): RegionLoad[]
}

/** Starts to report. */
export function startReporting (node: Node, source: ReportSource): AsyncDisposable {
  return repeat(node.cfg.times.reportMs, async () => await reportOnce(node, source), err => {
    log(node.logs, 'limit', 'warn', 'Report failed.', { peer: node.leader, error: getErrorMessage(err) })
  })
}

async function reportOnce (node: Node, source: ReportSource): Promise<void> {
  const leader = getLeaderAddress(node)
  if (leader === '') return
  const askedAt = getCurrentTime()
  const report: VmReport = {
    holder: node.holder,
    serial: node.limits.serial,
    usages: collectUsages(node.limits, listCaps(node.config).keys()),
    version: node.config.version,
    remaining: source.remaining(),
    loads: source.loads()
  }
  const reply = await callPeer<ReportReply>(node.client, leader, 'leader.report', report)
  applyGrants(node.limits, reply.serial, reply.grants, askedAt)
}
