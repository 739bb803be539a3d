/** The operators' query for what backend servers have said about themselves to one entry VM. */
import { getPauseMs, restrictsRequests } from '@lynxcourse/limits'
import { getLimitShare } from '@lynxcourse/placement'
import type { FleetServer } from '@lynxcourse/placement'
import type { Millis } from '@lynxcourse/base'
import * as z from 'zod'
import { getCurrentTime } from '../../utils/clock.js'
import { addMethod } from '../rpc/rpcServer.js'
import type { RpcServer } from '../rpc/rpcServer.js'
import type { Gateway } from './gateway.js'

/** What one server has said about itself. */
export interface NoticeSummary {
  readonly server: string
  readonly service: string
  /** Requests per second that it takes from all VMs together, and this VM's fraction of them; null without a limit. */
  readonly perSecond: number | null
  readonly share: number | null
  /** How long it still wants no requests from this VM. */
  readonly pausedMs: Millis
  readonly isLeaving: boolean
}

/** Adds the method `fleet.notices` to the RPC server of an entry VM. */
export function addNoticeMethod (rpc: RpcServer, gateway: Gateway): void {
  addMethod(rpc, 'fleet.notices', ['vm', 'operator'], z.strictObject({}), () => ({ vm: gateway.node.cfg.name, notices: listNotices(gateway, getCurrentTime()) }))
}

/** Lists the servers that have said something that still holds. */
export function listNotices (gateway: Gateway, now: Millis): NoticeSummary[] {
  const servers = [...gateway.fleet.byId.values()]
  return servers.filter(({ notice }) => restrictsRequests(notice, now)).map(server => summarize(gateway, server, now))
}

function summarize ({ fleet }: Gateway, server: FleetServer, now: Millis): NoticeSummary {
  const { facts, notice } = server
  const perSecond = notice.limit.perSecond ?? null
  return {
    server: facts.id,
    service: facts.service,
    perSecond,
    share: perSecond === null ? null : getLimitShare(fleet, server),
    pausedMs: Math.round(getPauseMs(notice, now)),
    isLeaving: notice.isLeaving
  }
}
