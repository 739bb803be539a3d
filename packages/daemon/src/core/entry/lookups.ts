/** Look-ups: tells callers which entry VMs to use. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { brandId } from '@lynxcourse/base'
import type { ServiceId } from '@lynxcourse/base'
import { isCurrent } from '@lynxcourse/membership'
import { callerBuckets, lookupVms } from '@lynxcourse/routing'
import { profileOf } from '@lynxcourse/state'
import { splitAddress } from '../../utils/httpServer.js'
import { isLogged, log } from '../../utils/logging.js'
import { presentTime } from '../../utils/clock.js'
import { callerInfo, placesFor } from './callerPlaces.js'
import type { CallerBlockInfo } from './callerPlaces.js'
import { refreshView } from './entry.js'
import type { Entry } from './entry.js'

export const lookupPath = '/v1/lookup'

/** Most answers kept ready; over it they are made anew. */
const maxCached = 50_000

const namePattern = /[?&]service=([a-z0-9.-]+)/
const clientPattern = /[?&]client=([0-9.]+)/

/** Body of an answer to a look-up. */
export interface LookupBody {
  readonly service: string
  /** Version of the configuration that the answer rests on. */
  readonly version: number
  readonly ttlSeconds: number
  readonly vms: ReadonlyArray<{ readonly vm: string, readonly region: string, readonly ip: string, readonly port: number }>
}

/** Answers a look-up. */
export function answerLookup (entry: Entry, req: IncomingMessage, res: ServerResponse): void {
  const url = req.url ?? ''
  const service = namePattern.exec(url)?.[1]
  if (service === undefined) {
    refuseLookup(entry, res, 400, 'service: expected ?service=NAME')
    return
  }
  const now = presentTime()
  refreshView(entry, now)
  const profile = profileOf(entry.node.config, service as ServiceId)
  // Without a lease this VM may name VMs that are gone or drained; another VM knows better.
  if (!isCurrent(entry.node.currency, now) && profile?.whenIsolated !== 'local') {
    refuseLookup(entry, res, 503, 'this VM can not learn the present state; ask another')
    return
  }
  if (profile === undefined) {
    refuseLookup(entry, res, 404, `service: no profile serves '${service}'`)
    return
  }
  const client = clientPattern.exec(url)?.[1] ?? req.socket.remoteAddress ?? ''
  const body = lookupBody(entry, brandId<ServiceId>(service), callerInfo(entry, client))
  entry.node.metrics.lookups.inc({ result: 'ok' })
  if (isLogged(entry.node.logs, 'lookup', 'debug')) log(entry.node.logs, 'lookup', 'debug', 'Answered.', { service, client })
  res.writeHead(200, {
    'content-type': 'application/json',
    'content-length': body.length,
    'cache-control': `private, max-age=${profile.lookupTtlS}`
  }).end(body)
}

function refuseLookup (entry: Entry, res: ServerResponse, status: number, detail: string): void {
  entry.node.metrics.lookups.inc({ result: `refused${status}` })
  const retry: Record<string, string> = status === 503 ? { 'retry-after': '1' } : {}
  res.writeHead(status, { 'content-type': 'application/json', 'cache-control': 'no-store', ...retry }).end(`${JSON.stringify({ detail })}\n`)
}

/** The body for a caller, made once for each bucket of callers. */
export function lookupBody (entry: Entry, service: ServiceId, caller: CallerBlockInfo): Buffer {
  const bucket = caller.hash % callerBuckets
  const key = `${service} ${caller.region ?? ''} ${bucket}`
  const known = entry.lookupCache.get(key)
  if (known !== undefined) return known
  const body = makeBody(entry, service, { region: caller.region, hash: bucket })
  if (entry.lookupCache.size < maxCached) entry.lookupCache.set(key, body)
  return body
}

function makeBody (entry: Entry, service: ServiceId, caller: CallerBlockInfo): Buffer {
  const profile = profileOf(entry.node.config, service)
  if (profile === undefined) return Buffer.alloc(0)
  const places = placesFor(entry, service, profile, caller)
  const vms = lookupVms(entry.lookupIndex, places, caller.hash).map(vm => {
    const { host, port } = splitAddress(vm.http)
    return { vm: vm.vm, region: vm.region, ip: host, port }
  })
  const body: LookupBody = { service, version: entry.node.config.version, ttlSeconds: profile.lookupTtlS, vms }
  return Buffer.from(JSON.stringify(body))
}
