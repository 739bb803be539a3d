/** Makes a data folder part of a cluster and starts its replica. */
import { LynxError, loadChart } from '@lynxcourse/base'
import type { HolderId } from '@lynxcourse/base'
import { createReplica, createInitialSnapshot } from '@lynxcourse/agreement'
import type { Entry, HardState, Replica, Snapshot } from '@lynxcourse/agreement'
import { deserializeStateMachine } from '@lynxcourse/state'
import { writeIdentity, writeSnapshot } from '../../plugins/logStorage.js'
import { getCurrentTime } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { unpackState } from './snapshotText.js'
import type { ControlHost } from './hostState.js'

/** Starts the replica from its stored state, with the state machine restored from the snapshot. */
export function startReplica (host: ControlHost, snapshot: Snapshot, hardState: HardState, entries: readonly Entry[]): void {
  const { heartbeatMs, electionMs } = host.env.times
  host.machine = deserializeStateMachine(host.charts, unpackState(snapshot.data))
  host.replica = createReplica({
    id: host.id,
    cluster: host.cluster ?? '',
    chart: loadChart('agreementRole'),
    times: { heartbeatMs, electionMs },
    random: host.env.random,
    stored: { hardState, snapshot, entries }
  }, getCurrentTime())
  log(host.env.logs, 'agree', 'info', 'Replica started.', { id: host.id, cluster: host.cluster, entries: entries.length, snapshot: snapshot.index })
}

/** Whether no replica is running, as is the case while this VM's data folder belongs to no cluster. */
export function isBlank (host: ControlHost): boolean {
  return host.replica === undefined
}

/**
 * Makes this VM one of the initial voters of a new cluster. Its data folder is empty, or it has joined this cluster by
 * itself: while an operator initializes one VM after the other, the next ones may find the cluster first.
 *
 * @throws LynxError when this VM belongs to another cluster, or when the voters don't include this incarnation of it
 */
export async function initCluster (host: ControlHost, cluster: string, voters: readonly HolderId[]): Promise<void> {
  if (!isBlank(host) && host.cluster !== cluster) throw new LynxError('badRequest', `this VM already belongs to cluster ${host.cluster}`, { step: 'init', field: 'cluster' })
  if (!voters.includes(host.id)) throw new LynxError('badRequest', `the voters do not include ${host.id}`, { step: 'init', field: 'voters' })
  const snapshot = createInitialSnapshot(voters, '')
  if (host.replica === undefined) await adoptCluster(host, cluster, snapshot)
  else if (host.replica.members.length === 0) await restartWithMembers(host, host.replica, snapshot)
}

/** Restarts a replica that joined without knowing the members, from their list and with the entries that it has. */
async function restartWithMembers (host: ControlHost, { term, votedFor, entries }: Replica, snapshot: Snapshot): Promise<void> {
  // Without a replica, the host drops events: none is processed between the two snapshots.
  host.replica = undefined
  await host.busy
  await writeSnapshot(host.storage, snapshot)
  startReplica(host, snapshot, { term, votedFor }, entries)
}

/** Makes this VM, whose data folder is empty, a replica of a running cluster; the leader adds it as a learner. */
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
