/** Processes the announcements by which backend servers register themselves. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { LynxError, isLynxError, getErrorMessage } from '@lynxcourse/base'
import type { FailureDomainId, Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { findServer, putRecord } from '@lynxcourse/membership'
import type { ServerRecord } from '@lynxcourse/membership'
import { recordReportedLoad } from '@lynxcourse/routing'
import { createNameSchema } from '@lynxcourse/state'
import * as z from 'zod'
import { addressSchema } from '../../types/settings.js'
import { parseJsonBody } from '../../utils/validation.js'
import { getCurrentTime } from '../../utils/clock.js'
import { readBody, parseAddress } from '../../utils/httpServer.js'
import { log } from '../../utils/logging.js'
import { notifyChange } from '../node/node.js'
import type { Node } from '../node/node.js'
import type { Syncing } from '../node/syncing.js'
import { addMethod } from '../rpc/rpcServer.js'
import type { RpcServer } from '../rpc/rpcServer.js'
import { takeToken } from '../../utils/rateLimit.js'
import type { EntryState } from './entry.js'

export const announcePath = '/v1/announce'

const maxAnnouncementBytes = 4096
const announcementsPerLifetime = 3

const announcementSchema = z.strictObject({
  server: createNameSchema<ServerId>(),
  service: createNameSchema<ServiceId>(),
  /** Address at which this system reaches the server. */
  address: addressSchema,
  failureDomain: createNameSchema<FailureDomainId>(),
  slots: z.number().int().min(1).max(10_000),
  connections: z.number().int().min(1).max(1_000_000),
  /** Number of requests in progress at the server. */
  load: z.number().min(0).max(1_000_000).default(0),
  state: z.enum(['starting', 'serving', 'leaving']),
  /** Increases with each start of the server, for example its start time in Unix milliseconds. */
  incarnation: z.number().int().min(1),
  /** Increases with each announcement. */
  seq: z.number().int().min(0)
})

type Announcement = z.output<typeof announcementSchema>

/** Answer to an announcement. */
export interface AnnouncementReply {
  /** Time after which the announcement expires. */
  readonly lifetimeMs: Millis
  /** Time after which the server should announce itself again. */
  readonly againAfterMs: Millis
}

/**
 * Answers an announcement over HTTP, where only the sender's address identifies the server. Rejected if TLS is
 * configured.
 */
export async function answerAnnouncement (entry: EntryState, syncing: Syncing, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const { node } = entry
  try {
    if (node.cfg.tls !== undefined) {
      throw new LynxError('notAllowed', 'with TLS, servers announce themselves through the RPC method server.announce', { step: 'announce' })
    }
    const body = await readBody(req, maxAnnouncementBytes)
    const reply = handleAnnouncement(entry, syncing, parseAnnouncement(body.toString('utf8')), req.socket.remoteAddress ?? '')
    res.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(reply))
  } catch (err) {
    const status = isLynxError(err, 'notAllowed') ? 403 : isLynxError(err, 'tooLarge') ? 413 : isLynxError(err, 'overCapacity') ? 429 : 400
    node.metrics.refusals.inc({ reason: isLynxError(err) ? err.code : 'badRequest' })
    log(node.logs, 'announce', 'warn', 'Announcement rejected.', { peer: req.socket.remoteAddress, error: getErrorMessage(err) })
    const field = isLynxError(err) ? err.field : undefined
    res.writeHead(status, { 'content-type': 'application/json', connection: 'close' }).end(`${JSON.stringify({ detail: getErrorMessage(err), field })}\n`)
  }
}

/** Adds the RPC method by which servers announce themselves over mutual TLS, under the name in their certificate. */
export function addAnnounceMethod (rpc: RpcServer, entry: EntryState, syncing: Syncing): void {
  addMethod(rpc, 'server.announce', ['server'], announcementSchema, (announcement, caller) => {
    if (caller.role === 'server' && caller.name !== announcement.server) {
      throw new LynxError('notAllowed', `server:${caller.name} may not announce ${announcement.server}`, { step: 'announce', field: 'server', peer: caller.name })
    }
    return handleAnnouncement(entry, syncing, announcement, caller.address)
  })
}

function handleAnnouncement (entry: EntryState, syncing: Syncing, announcement: Announcement, peer: string): AnnouncementReply {
  const { announceMs } = entry.node.cfg.times
  if (!takeToken(entry.announcementRateLimit, peer, getCurrentTime())) {
    throw new LynxError('overCapacity', `more than ${entry.announcementRateLimit.perSecond} announcements per second`, { step: 'announce', peer })
  }
  applyAnnouncement(entry, syncing, announcement, toServerRecord(entry.node, announcement, peer))
  return { lifetimeMs: announceMs, againAfterMs: Math.floor(announceMs / announcementsPerLifetime) }
}

/**
 * Parses and validates an announcement.
 *
 * @throws LynxError that names the invalid field
 */
export function parseAnnouncement (text: string): Announcement {
  return parseJsonBody(announcementSchema, text, 'announce')
}

function toServerRecord (node: Node, announcement: Announcement, peer: string): ServerRecord {
  const { host } = parseAddress(announcement.address)
  const sender = peer.replace('::ffff:', '')
  if (host !== sender) {
    throw new LynxError('notAllowed', `address: ${host} was announced by a sender at ${sender}`, { step: 'announce', field: 'address', peer: sender })
  }
  const region = findRegionOfDomain(node, announcement.failureDomain)
  if (region === undefined) {
    throw new LynxError('badRequest', `failureDomain: '${announcement.failureDomain}' does not exist`, { step: 'announce', field: 'failureDomain' })
  }
  const { server, service, address, failureDomain, slots, connections, state, incarnation, seq } = announcement
  return { kind: 'server', key: server, incarnation, seq, state, service, region, failureDomain, address, slots, maxConnections: connections }
}

function findRegionOfDomain (node: Node, domain: FailureDomainId): RegionId | undefined {
  const regions = Object.entries(node.cfg.topology.regions)
  return regions.find(([, domains]) => (domains as readonly string[]).includes(domain))?.[0] as RegionId | undefined
}

function applyAnnouncement (entry: EntryState, syncing: Syncing, announcement: Announcement, record: ServerRecord): void {
  const { node } = entry
  const existing = findServer(node.directory, record.key)
  const isRegistered = existing !== undefined && existing.state !== 'gone'
  if (isRegistered && existing.address !== record.address && existing.incarnation >= record.incarnation) {
    throw new LynxError('notAllowed', `server: '${record.key}' is already announced with address ${existing.address}`, { step: 'announce', field: 'server' })
  }
  const changed = putRecord(node.directory, record, 'direct', getCurrentTime())
  const observed = entry.router.backends.byId.get(record.key)
  if (observed !== undefined) recordReportedLoad(observed, announcement.load, getCurrentTime())
  if (!changed) return
  log(node.logs, 'announce', 'info', 'Server announced itself.', { server: record.key, service: record.service, state: record.state, address: record.address, slots: record.slots })
  notifyChange(node)
  syncing.syncSoon()
}
