/** Parses request decisions from VMs' log lines. */

/** Fields of one decision; texts that a line lacks are empty, numbers are NaN. */
export interface Decision {
  readonly message: 'Sent.' | 'Refused.' | 'Failed.' | 'Caller rejected.'
  /** Unix time in milliseconds, by the clock of the VM that wrote the line. */
  readonly at: number
  readonly route: string
  readonly service: string
  readonly object: string
  readonly server: string
  /** Software version of the server; empty if the fleet doesn't tell versions apart. */
  readonly version: string
  readonly place: string | undefined
  readonly outcome: string
  readonly reason: string
  readonly tookMs: number
  readonly expectedMs: number
  readonly waitMs: number
  readonly underWay: number
  readonly limit: number
  /** Time for which the server wanted no requests when the send ended. */
  readonly pausedNowMs: number
}

const messages = new Set(['Sent.', 'Refused.', 'Failed.', 'Caller rejected.'])

/** Parses the decision of a line; returns undefined for other lines. A log collector may have put a prefix before the JSON. */
export function readDecision (line: string): Decision | undefined {
  const start = line.indexOf('{')
  if (start < 0) return undefined
  let fields: Record<string, unknown>
  try {
    fields = JSON.parse(line.slice(start)) as Record<string, unknown>
  } catch {
    // The process died before it had written the whole line.
    return undefined
  }
  const { message } = fields
  if (typeof message !== 'string' || !messages.has(message)) return undefined
  return {
    message: message as Decision['message'],
    at: Date.parse(toText(fields.timestamp)),
    route: toText(fields.route),
    service: toText(fields.service),
    object: toText(fields.object),
    server: toText(fields.server),
    version: toText(fields.version),
    place: typeof fields.place === 'string' ? fields.place : undefined,
    outcome: toText(fields.outcome),
    reason: toText(fields.reason ?? fields.detail),
    tookMs: toNumber(fields.tookMs),
    expectedMs: toNumber(fields.expectedMs),
    waitMs: toNumber(fields.waitMs),
    underWay: toNumber(fields.underWay),
    limit: toNumber(fields.limit),
    pausedNowMs: toNumber(fields.pausedNowMs)
  }
}

function toText (value: unknown): string {
  return typeof value === 'string' ? value : ''
}

function toNumber (value: unknown): number {
  return typeof value === 'number' ? value : NaN
}
