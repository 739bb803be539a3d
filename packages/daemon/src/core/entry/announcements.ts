/** Takes backend servers' announcements of themselves. */
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
  /** Where this system reaches the server. */
  address: addressSchema,
  failureDomain: createNameSchema<FailureDomainId>(),
  slots: z.number().int().min(1).max(10_000),
  connections: z.number().int().min(1).max(1_000_000),
  /** Requests that the server works on now. */
  load: z.number().min(0).max(1_000_000).default(0),
  state: z.enum(['starting', 'serving', 'leaving']),
  /** Grows with each start of the server; its start time in Unix milliseconds will do. */
  incarnation: z.number().int().min(1),
  /** Grows with each announcement. */
  seq: z.number().int().min(0)
})

type Announcement = z.output<typeof announcementSchema>

/** What a server is told of its announcement. */
export interface AnnouncementReply {
  readonly lifetimeMs: Millis
  readonly againAfterMs: Millis
}

/** Answers an announcement that comes by HTTP, where the sender's address is all that tells who it is. */
export async function answerAnnouncement (entry: EntryState, syncing: Syncing, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const { node } = entry
  try {
    if (node.cfg.tls !== undefined) {
      throw new LynxError('notAllowed', 'with TLS, servers announce themselves by the RPC method server.announce', { step: 'announce' })
    }
    const body = await readBody(req, maxAnnouncementBytes)
    const reply = announce(entry, syncing, parseAnnouncement(body.toString('utf8')), req.socket.remoteAddress ?? '')
    res.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(reply))
  } catch (err) {
    const status = isLynxError(err, 'notAllowed') ? 403 : isLynxError(err, 'tooLarge') ? 413 : isLynxError(err, 'overCapacity') ? 429 : 400
    node.metrics.refusals.inc({ reason: isLynxError(err) ? err.code : 'badRequest' })
    log(node.logs, 'announce', 'warn', 'Announcement refused.', { peer: req.socket.remoteAddress, error: getErrorMessage(err) })
    const field = isLynxError(err) ? err.field : undefined
    res.writeHead(status, { 'content-type': 'application/json', connection: 'close' }).end(`${JSON.stringify({ detail: getErrorMessage(err), field })}\n`)
  }
}

/** Adds the method by which servers announce themselves over mutual TLS, under the name in their certificate. */
export function addAnnounceMethod (rpc: RpcServer, entry: EntryState, syncing: Syncing): void {
  addMethod(rpc, 'server.announce', ['server'], announcementSchema, (announcement, caller) => {
    if (caller.role === 'server' && caller.name !== announcement.server) {
      throw new LynxError('notAllowed', `server:${caller.name} announces ${announcement.server}`, { step: 'announce', field: 'server', peer: caller.name })
    }
    return announce(entry, syncing, announcement, caller.address)
  })
}

function announce (entry: EntryState, syncing: Syncing, announcement: Announcement, peer: string): AnnouncementReply {
  const { announceMs } = entry.node.cfg.times
  if (!takeToken(entry.announceRate, peer, getCurrentTime())) {
    throw new LynxError('overCapacity', `more than ${entry.announceRate.perSecond} announcements a second`, { step: 'announce', peer })
  }
  takeAnnouncement(entry, syncing, announcement, recordOf(entry.node, announcement, peer))
  return { lifetimeMs: announceMs, againAfterMs: Math.floor(announceMs / announcementsPerLifetime) }
}

/**
 * Checks the text of an announcement.
 *
 * @throws LynxError naming the field
 */
export function parseAnnouncement (text: string): Announcement {
  return parseJsonBody(announcementSchema, text, 'announce')
}

function recordOf (node: Node, announcement: Announcement, peer: string): ServerRecord {
  const { host } = parseAddress(announcement.address)
  const from = peer.replace('::ffff:', '')
  if (host !== from) {
    throw new LynxError('notAllowed', `address: ${host} was announced from ${from}`, { step: 'announce', field: 'address', peer: from })
  }
  const region = regionOfDomain(node, announcement.failureDomain)
  if (region === undefined) {
    throw new LynxError('badRequest', `failureDomain: no '${announcement.failureDomain}'`, { step: 'announce', field: 'failureDomain' })
  }
  const { server, service, address, failureDomain, slots, connections, state, incarnation, seq } = announcement
  return { kind: 'server', key: server, incarnation, seq, state, service, region, failureDomain, address, slots, maxConnections: connections }
}

function regionOfDomain (node: Node, domain: FailureDomainId): RegionId | undefined {
  const regions = Object.entries(node.cfg.topology.regions)
  return regions.find(([, domains]) => (domains as readonly string[]).includes(domain))?.[0] as RegionId | undefined
}

function takeAnnouncement (entry: EntryState, syncing: Syncing, announcement: Announcement, record: ServerRecord): void {
  const { node } = entry
  const before = findServer(node.directory, record.key)
  const isLive = before !== undefined && before.state !== 'gone'
  if (isLive && before.address !== record.address && before.incarnation >= record.incarnation) {
    throw new LynxError('notAllowed', `server: '${record.key}' is announced from ${before.address}`, { step: 'announce', field: 'server' })
  }
  const changed = putRecord(node.directory, record, 'direct', getCurrentTime())
  const observed = entry.router.backends.byId.get(record.key)
  if (observed !== undefined) recordReportedLoad(observed, announcement.load, getCurrentTime())
  if (!changed) return
  log(node.logs, 'announce', 'info', 'Server announced itself.', { server: record.key, service: record.service, state: record.state, address: record.address, slots: record.slots })
  notifyChange(node)
  syncing.syncSoon()
}
