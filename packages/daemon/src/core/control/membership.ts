/** How a disk comes to belong to a cluster, and how its copy of the log starts. */
import { LynxError, loadChart } from '@lynxcourse/base'
import type { HolderId } from '@lynxcourse/base'
import { createReplica, createInitialSnapshot } from '@lynxcourse/agreement'
import type { Entry, HardState, Snapshot } from '@lynxcourse/agreement'
import { deserializeStateMachine } from '@lynxcourse/state'
import { writeIdentity, writeSnapshot } from '../../plugins/logStorage.js'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import type { ControlHost } from './hostState.js'

export function startReplica (host: ControlHost, snapshot: Snapshot, hardState: HardState, entries: readonly Entry[]): void {
  const { heartbeatMs, electionMs } = host.env.times
  host.machine = deserializeStateMachine(host.charts, snapshot.data)
  host.replica = createReplica({
    id: host.id,
    cluster: host.cluster ?? '',
    chart: loadChart('agreementRole'),
    times: { heartbeatMs, electionMs },
    random: host.env.random,
    stored: { hardState, snapshot, entries }
  }, getCurrentTime())
  log(host.env.logs, 'agree', 'info', 'Copy of the log started.', { id: host.id, cluster: host.cluster, entries: entries.length, snapshot: snapshot.index })
}

/** Whether this disk belongs to no cluster yet. */
export function isBlank (host: ControlHost): boolean {
  return host.replica === undefined
}

/**
 * Makes this blank disk a first voter of a new cluster.
 *
 * @throws LynxError when the disk belongs to a cluster, or the voters name another life of it
 */
export async function initCluster (host: ControlHost, cluster: string, voters: readonly HolderId[]): Promise<void> {
  if (!isBlank(host)) throw new LynxError('badRequest', `this VM belongs to cluster ${host.cluster}`, { step: 'init', field: 'cluster' })
  if (!voters.includes(host.id)) throw new LynxError('badRequest', `voters do not name ${host.id}`, { step: 'init', field: 'voters' })
  await adoptCluster(host, cluster, createInitialSnapshot(voters, ''))
}

/** Makes this blank disk a copy of a running cluster; the leader adds it as a learner. */
export async function joinCluster (host: ControlHost, cluster: string): Promise<void> {
  await adoptCluster(host, cluster, createInitialSnapshot([], ''))
}

async function adoptCluster (host: ControlHost, cluster: string, snapshot: Snapshot): Promise<void> {
  if (!isBlank(host)) return
  await writeSnapshot(host.storage, snapshot)
  await writeIdentity(host.storage, { incarnation: host.incarnation, cluster })
  host.cluster = cluster
  startReplica(host, snapshot, { term: 0, votedFor: undefined }, [])
}
