/** Answers lookups: which entry VMs a caller should use for a service. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ServiceId } from '@lynxcourse/base'
import { isLeaseValid } from '@lynxcourse/membership'
import { callerBucketCount, selectEntryVms } from '@lynxcourse/routing'
import type { Profile } from '@lynxcourse/state'
import { parseAddress } from '../../utils/httpServer.js'
import { isLogged, log } from '../../utils/logging.js'
import { getCurrentTime } from '../../utils/clock.js'
import { getCallerInfo, getCandidateRegions } from './callerRegions.js'
import type { CallerInfo } from './callerRegions.js'
import { getProfile, refreshRoutingState } from './entry.js'
import type { EntryState } from './entry.js'
import type { LookupAnswer } from './lookupAnswer.js'

export const lookupPath = '/v1/lookup'

const servicePattern = /[?&]service=([a-z0-9.-]+)/
const clientPattern = /[?&]client=([0-9.]+)/

/** Maximum number of parsed query strings in the cache. Well-behaved callers use few different ones. */
const maxCachedQueries = 1000

interface LookupQuery {
  readonly service: ServiceId | undefined
  readonly client: string | undefined
}

const queryCache = new Map<string, LookupQuery>()

/** Body of an answer to a lookup. */
export interface LookupBody {
  readonly service: string
  /** Version of the configuration that the answer is based on. */
  readonly version: number
  readonly ttlSeconds: number
  readonly vms: ReadonlyArray<{ readonly vm: string, readonly region: string, readonly ip: string, readonly port: number }>
}

/** Answers a lookup. */
export function answerLookup (entry: EntryState, req: IncomingMessage, res: ServerResponse): void {
  const { service, client } = parseQuery(req.url ?? '')
  if (service === undefined) {
    rejectLookup(entry, res, 400, 'service: expected ?service=NAME')
    return
  }
  const now = getCurrentTime()
  refreshRoutingState(entry, now)
  const profile = getProfile(entry, service)
  // Without a lease on the configuration, this VM could name VMs that left or are being drained.
  if (!isLeaseValid(entry.node.configLease, now) && profile?.whenIsolated !== 'local') {
    rejectLookup(entry, res, 503, 'this VM can not learn the present state; ask another')
    return
  }
  if (profile === undefined) {
    rejectLookup(entry, res, 404, `service: no profile serves '${service}'`)
    return
  }
  const address = client ?? req.socket.remoteAddress ?? ''
  const answer = getLookupAnswer(entry, service, profile, getCallerInfo(entry, address))
  entry.uncountedLookups += 1
  if (isLogged(entry.node.logs, 'lookup', 'debug')) log(entry.node.logs, 'lookup', 'debug', 'Answered.', { service, client: address })
  res.writeHead(200, answer.headers).end(answer.body)
}

function parseQuery (url: string): LookupQuery {
  const cached = queryCache.get(url)
  if (cached !== undefined) return cached
  const query = { service: servicePattern.exec(url)?.[1] as ServiceId | undefined, client: clientPattern.exec(url)?.[1] }
  if (queryCache.size < maxCachedQueries) queryCache.set(url, query)
  return query
}

function rejectLookup (entry: EntryState, res: ServerResponse, status: number, detail: string): void {
  entry.node.metrics.lookups.inc({ result: `refused${status}` })
  const retry: Record<string, string> = status === 503 ? { 'retry-after': '1' } : {}
  res.writeHead(status, { 'content-type': 'application/json', 'cache-control': 'no-store', ...retry }).end(`${JSON.stringify({ detail })}\n`)
}

/** Returns the answer for a caller, which all callers of the same region and bucket share. */
function getLookupAnswer (entry: EntryState, service: ServiceId, profile: Profile, caller: CallerInfo): LookupAnswer {
  const bucket = caller.hash % callerBucketCount
  let byRegion = entry.lookupCache.get(service)
  if (byRegion === undefined) {
    byRegion = new Map()
    entry.lookupCache.set(service, byRegion)
  }
  let answers = byRegion.get(caller.region)
  if (answers === undefined) {
    answers = []
    byRegion.set(caller.region, answers)
  }
  const answer = answers[bucket] ?? createLookupAnswer(entry, service, profile, { region: caller.region, hash: bucket })
  answers[bucket] = answer
  return answer
}

function createLookupAnswer (entry: EntryState, service: ServiceId, profile: Profile, caller: CallerInfo): LookupAnswer {
  const candidates = getCandidateRegions(entry, service, profile, caller)
  const vms = selectEntryVms(entry.lookupIndex, candidates, caller.hash).map(vm => {
    const { host, port } = parseAddress(vm.http)
    return { vm: vm.vm, region: vm.region, ip: host, port }
  })
  const content: LookupBody = { service, version: entry.node.config.version, ttlSeconds: profile.lookupTtlS, vms }
  const body = Buffer.from(JSON.stringify(content))
  const headers = { 'content-type': 'application/json', 'content-length': body.length, 'cache-control': `private, max-age=${profile.lookupTtlS}` }
  return { body, headers }
}
