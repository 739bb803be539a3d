/** Sums up, by service and VM, what the retry budget allowed and denied, from VMs' log lines. */

/** One line on the retry budget of a service at a VM. */
export interface RetryLine {
  readonly service: string
  readonly vm: string
  readonly requests: number
  /** Retries by the outcome of the previous send. */
  readonly sent: ReadonlyMap<string, number>
  readonly denied: ReadonlyMap<string, number>
  /** Entry VMs among which the VM divided the slack. */
  readonly vms: number
}

/** Parses a line on the retry budget; returns undefined for other lines. A log collector may have put a prefix before the JSON. */
export function readRetryLine (line: string): RetryLine | undefined {
  const start = line.indexOf('{')
  if (start < 0 || !line.includes('"Retry budget."')) return undefined
  try {
    const { service, vm, requests, sent, denied, budgetVms } = JSON.parse(line.slice(start)) as Record<string, unknown>
    return { service: String(service), vm: String(vm), requests: Number(requests), sent: parseCounts(sent), denied: parseCounts(denied), vms: Number(budgetVms) }
  } catch {
    // The process died before it had written the whole line.
    return undefined
  }
}

/** Parses counts such as `full 12, failed 3`; there are none if the field is missing. */
function parseCounts (text: unknown): Map<string, number> {
  if (typeof text !== 'string') return new Map()
  return new Map(text.split(', ').map(part => {
    const [cause = '', count] = part.split(' ')
    return [cause, Number(count)]
  }))
}

/** Returns a row for each service and VM, sorted by both. */
export function countRetries (lines: readonly RetryLine[]): object[] {
  const groups = new Map<string, RetryLine[]>()
  for (const line of lines) {
    const key = `${line.service} ${line.vm}`
    groups.set(key, [...groups.get(key) ?? [], line])
  }
  return [...groups].sort(([a], [b]) => a < b ? -1 : 1).map(([, group]) => ({
    service: group[0]?.service,
    vm: group[0]?.vm,
    requests: group.reduce((sum, { requests }) => sum + requests, 0),
    sent: formatSum(group.map(({ sent }) => sent)),
    denied: formatSum(group.map(({ denied }) => denied)),
    vms: [...new Set(group.map(({ vms }) => vms))].sort((a, b) => a - b).join(' ')
  }))
}

function formatSum (counts: ReadonlyArray<ReadonlyMap<string, number>>): string {
  const sum = new Map<string, number>()
  for (const byCause of counts) for (const [cause, count] of byCause) sum.set(cause, (sum.get(cause) ?? 0) + count)
  const total = [...sum.values()].reduce((all, count) => all + count, 0)
  return total === 0 ? '0' : `${total} (${[...sum].map(([cause, count]) => `${cause} ${count}`).join(', ')})`
}
