/** Metrics by `prom-client`. The number of label sets is bounded. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

const latencyBuckets = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30]

/** All metrics of one daemon. */
export interface Metrics {
  readonly registry: Registry
  readonly requests: Counter<'service' | 'outcome'>
  readonly requestSeconds: Histogram<'service'>
  readonly unreadSeconds: Histogram
  readonly closeUnreadSeconds: Histogram
  readonly loopLateSeconds: Histogram
  readonly stateAgeSeconds: Histogram
  readonly attempts: Counter<'end'>
  readonly serverEnds: Counter
  readonly limitedSends: Counter
  readonly targetSends: Counter
  readonly serverPauses: Counter
  readonly serverDepartures: Counter
  readonly unsolicitedAnswers: Counter
  readonly lookups: Counter<'result'>
  readonly claims: Counter<'result'>
  readonly claimSeconds: Histogram
  readonly refusals: Counter<'reason'>
  readonly rpc: Counter<'method' | 'side'>
  readonly rpcBytes: Counter<'direction'>
  readonly rpcWireBytes: Counter<'direction'>
  readonly inFlight: Gauge
  readonly incompleteAnswers: Counter<'step' | 'cause'>
  readonly callerCloses: Counter<'reason'>
  readonly connectionLimits: Counter<'listener' | 'limit'>
  readonly waiting: Gauge
  readonly configVersion: Gauge
  readonly current: Gauge
  readonly records: Gauge<'kind'>
  readonly diskSyncs: Counter
  readonly logMessages: Counter<'peer' | 'type' | 'result'>
  readonly logEntriesSent: Counter<'peer'>
  readonly logEntries: Gauge
  readonly logBytes: Gauge
  readonly snapshotBytes: Gauge
  readonly heapBytes: Gauge
  readonly residentBytes: Gauge
  readonly rolloutSteps: Counter<'event'>
  readonly largeAnswerBytes: Counter
  readonly largeAnswers: Gauge
  readonly linkBytes: Counter<'direction'>
  readonly utilization: Gauge<'resource'>
  readonly retries: Counter<'service' | 'cause' | 'result'>
  readonly retryBudget: Gauge<'service' | 'part'>
  readonly retryBudgetVms: Gauge
}

export function createMetrics (): Metrics {
  const registry = new Registry()
  const registers = [registry]
  return {
    registry,
    requests: new Counter({ name: 'lynxcourse_requests_total', help: 'Requests by final answer.', labelNames: ['service', 'outcome'], registers }),
    requestSeconds: new Histogram({ name: 'lynxcourse_request_duration_seconds', help: 'Time to the final answer.', labelNames: ['service'], buckets: latencyBuckets, registers }),
    unreadSeconds: new Histogram({ name: 'lynxcourse_request_unread_seconds', help: 'Longest time that a request can have lain unread before this VM got to it.', buckets: latencyBuckets, registers }),
    closeUnreadSeconds: new Histogram({ name: 'lynxcourse_close_unread_seconds', help: 'Longest time that the close of a caller with an open request can have lain unread before this VM read it.', buckets: latencyBuckets, registers }),
    loopLateSeconds: new Histogram({ name: 'lynxcourse_loop_late_seconds', help: 'How late a timer of the event loop ran, whether the loop worked or waited for the processor.', buckets: latencyBuckets, registers }),
    stateAgeSeconds: new Histogram({ name: 'lynxcourse_state_age_seconds', help: 'Age of the state by which a request was routed: time since it was last known to have all changes.', buckets: latencyBuckets, registers }),
    attempts: new Counter({ name: 'lynxcourse_attempts_total', help: 'Attempts at backend servers by end.', labelNames: ['end'], registers }),
    serverEnds: new Counter({ name: 'lynxcourse_server_ends_total', help: 'Servers found ended after they left a request of this VM without an answer, by request.', registers }),
    limitedSends: new Counter({ name: 'lynxcourse_limited_sends_total', help: 'Requests that this VM sent to servers that name a limit for all VMs together.', registers }),
    targetSends: new Counter({ name: 'lynxcourse_target_sends_total', help: 'Requests that this VM sent to the target version of a running rollout.', registers }),
    serverPauses: new Counter({ name: 'lynxcourse_server_pauses_total', help: 'Times for which backend servers wanted no requests from this VM.', registers }),
    serverDepartures: new Counter({ name: 'lynxcourse_server_departures_total', help: 'Backend servers that said in an answer to this VM that they leave.', registers }),
    unsolicitedAnswers: new Counter({ name: 'lynxcourse_unsolicited_answers_total', help: 'Idle connections over which a backend server sent bytes that belong to no request.', registers }),
    lookups: new Counter({ name: 'lynxcourse_lookups_total', help: 'Look-ups by result.', labelNames: ['result'], registers }),
    claims: new Counter({ name: 'lynxcourse_claims_total', help: 'Claims by result.', labelNames: ['result'], registers }),
    claimSeconds: new Histogram({ name: 'lynxcourse_claim_duration_seconds', help: 'Time to an answer from the register.', buckets: latencyBuckets, registers }),
    refusals: new Counter({ name: 'lynxcourse_refusals_total', help: 'Messages refused, by reason.', labelNames: ['reason'], registers }),
    rpc: new Counter({ name: 'lynxcourse_rpc_total', help: 'RPC calls by method and side.', labelNames: ['method', 'side'], registers }),
    rpcBytes: new Counter({ name: 'lynxcourse_rpc_bytes_total', help: 'Bytes of RPC bodies.', labelNames: ['direction'], registers }),
    rpcWireBytes: new Counter({ name: 'lynxcourse_rpc_wire_bytes_total', help: 'Bytes over the connections of the RPC server, heads included.', labelNames: ['direction'], registers }),
    inFlight: new Gauge({ name: 'lynxcourse_requests_in_flight', help: 'Requests in this VM.', registers }),
    incompleteAnswers: new Counter({ name: 'lynxcourse_incomplete_answers_total', help: 'Requests whose answer was not sent to its end, by the step they were in and what ended them.', labelNames: ['step', 'cause'], registers }),
    callerCloses: new Counter({ name: 'lynxcourse_caller_connections_closed_total', help: 'Connections from callers that were closed, by reason.', labelNames: ['reason'], registers }),
    connectionLimits: new Counter({ name: 'lynxcourse_connection_limits_total', help: 'Times that a limit on connections acted, by listener.', labelNames: ['listener', 'limit'], registers }),
    waiting: new Gauge({ name: 'lynxcourse_requests_waiting', help: 'Requests that wait for a slot.', registers }),
    configVersion: new Gauge({ name: 'lynxcourse_config_version', help: 'Version of the configuration in force.', registers }),
    current: new Gauge({ name: 'lynxcourse_current', help: 'Whether this VM holds a lease on being current.', registers }),
    records: new Gauge({ name: 'lynxcourse_directory_records', help: 'Records in the directory.', labelNames: ['kind'], registers }),
    diskSyncs: new Counter({ name: 'lynxcourse_disk_syncs_total', help: 'Times that a file was synced.', registers }),
    logMessages: new Counter({ name: 'lynxcourse_log_messages_total', help: 'Messages of the replicated log to other control VMs, by type and whether they were delivered.', labelNames: ['peer', 'type', 'result'], registers }),
    logEntriesSent: new Counter({ name: 'lynxcourse_log_entries_sent_total', help: 'Entries of the log in messages to other control VMs, resent ones included.', labelNames: ['peer'], registers }),
    logEntries: new Gauge({ name: 'lynxcourse_log_entries', help: 'Entries of the log after its snapshot.', registers }),
    logBytes: new Gauge({ name: 'lynxcourse_log_bytes', help: 'Size of the log file, without the snapshot.', registers }),
    snapshotBytes: new Gauge({ name: 'lynxcourse_snapshot_bytes', help: 'Length of the compressed state in the snapshot of the log, in characters.', registers }),
    heapBytes: new Gauge({ name: 'nodejs_heap_size_used_bytes', help: 'Heap in use by this process.', registers }),
    residentBytes: new Gauge({ name: 'process_resident_memory_bytes', help: 'Resident memory of this process.', registers, collect () { this.set(process.memoryUsage.rss()) } }),
    rolloutSteps: new Counter({ name: 'lynxcourse_rollout_steps_total', help: 'Steps of rollouts that this VM submitted as the leader, by event.', labelNames: ['event'], registers }),
    largeAnswerBytes: new Counter({ name: 'lynxcourse_large_answer_bytes_total', help: 'Bytes of large answers written to callers while they were received.', registers }),
    largeAnswers: new Gauge({ name: 'lynxcourse_large_answers', help: 'Large answers that are being forwarded, written or waiting for the link.', registers }),
    linkBytes: new Counter({ name: 'lynxcourse_link_bytes_total', help: 'Bytes over the connections with callers and backend servers, if the capacity of this VM is known.', labelNames: ['direction'], registers }),
    utilization: new Gauge({ name: 'lynxcourse_utilization', help: 'Smoothed utilization of this VM by resource, cpu or link, if its capacity is known.', labelNames: ['resource'], registers }),
    retries: new Counter({ name: 'lynxcourse_retries_total', help: 'Retries at other servers that requests wanted, by service, outcome of the previous send, and whether the retry budget allowed them.', labelNames: ['service', 'cause', 'result'], registers }),
    retryBudget: new Gauge({ name: 'lynxcourse_retry_budget', help: 'Retries that the budget allows this VM within its window, and those used, by service.', labelNames: ['service', 'part'], registers }),
    retryBudgetVms: new Gauge({ name: 'lynxcourse_retry_budget_vms', help: 'Entry VMs among which this VM divides the slack of the retry budget.', registers })
  }
}
