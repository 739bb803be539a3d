/** The read-only commands `status`, `vm`, `server`, `limit` and `route`, and the command `cluster init`. */
import { randomUUID } from 'node:crypto'
import type { Command } from 'commander'
import { LynxError } from '@lynxcourse/base'
import { callPeer } from '@lynxcourse/daemon'
import { exitCodes } from '../../utils/exitCodes.js'
import { printRecord, printProgress, printRows } from '../../utils/printing.js'
import type { Row } from '../../utils/printing.js'
import { callAnyVm } from '../session.js'
import type { Session } from '../session.js'
import { createAction } from './action.js'

async function readStatus (session: Session, address: string): Promise<Row> {
  try {
    return { address, ...await callPeer<Row>(session.client, address, 'query.status', {}) }
  } catch (err) {
    return { address, vm: '?', error: (err as Error).message }
  }
}

interface LogStatus { readonly role: string, readonly term: number, readonly commit: number }

/** Adds the read-only commands and `lynxcourse cluster`. */
export function addViewCommands (program: Command): void {
  program.command('status').description('show the VMs at the given addresses').action(createAction(async session => {
    const rows = await Promise.all(session.addresses.map(async address => await readStatus(session, address)))
    const tableRows = rows.map(row => {
      const log = row['log'] as LogStatus | null | undefined
      return { ...row, role: log?.role, term: log?.term, commit: log?.commit }
    })
    printRows(session.output, session.output === 'json' ? rows : tableRows, ['vm', 'address', 'region', 'current', 'confirmedAgeMs', 'version', 'role', 'term', 'commit', 'open', 'error'])
    return rows.some(row => row['error'] !== undefined) ? exitCodes.failed : exitCodes.ok
  }))
  const vm = program.command('vm').description('VMs of this system')
  vm.command('list').description('list VMs').action(createAction(async session => {
    printRows(session.output, await callAnyVm<Row[]>(session, 'query.vms'), ['key', 'state', 'region', 'failureDomain', 'roles', 'http', 'rpc', 'life'])
    return exitCodes.ok
  }))
  const server = program.command('server').description('backend servers')
  server.command('list').description('list backend servers as observed by the VM that answers').action(createAction(async session => {
    printRows(session.output, await callAnyVm<Row[]>(session, 'query.servers'), ['key', 'service', 'state', 'seenAs', 'region', 'failureDomain', 'address', 'slots', 'inFlight', 'latencyMs', 'takesPerSecond', 'pausedMs', 'saysLeaving'])
    return exitCodes.ok
  }))
  const limit = program.command('limit').description('grants of limits on requests in flight')
  limit.command('list').description('list the grants of each holder').action(createAction(async session => {
    printRows(session.output, await callAnyVm<Row[]>(session, 'query.limits'), ['resource', 'holder', 'amount', 'ceiling'])
    return exitCodes.ok
  }))
  const route = program.command('route').description('routing decisions')
  route.command('explain <service> <client>').description('show which server a client\'s request would be routed to now, and why').action(createAction(async (session, [service, client]) => {
    printRecord(session.output, await callAnyVm<Row>(session, 'query.explain', { service, client }))
    return exitCodes.ok
  }))
  const cluster = program.command('cluster').description('the control VMs')
  cluster.command('init').description('create a new cluster of the control VMs at the given addresses; run it only once').action(createAction(async session => await initCluster(session)))
}

interface ClusterInfo { readonly id: string, readonly cluster?: string }

/** Creates a cluster. No VM may belong to a cluster yet: a VM that lost its disk must join its cluster, not create a new one. */
async function initCluster (session: Session): Promise<number> {
  const infos = await Promise.all(session.addresses.map(async address => await callPeer<ClusterInfo>(session.client, address, 'cluster.info', {})))
  const member = infos.find(info => info.cluster !== undefined)
  if (member !== undefined) throw new LynxError('badRequest', `${member.id} already belongs to cluster ${member.cluster}`, { step: 'init' })
  const cluster = randomUUID()
  const voters = infos.map(info => info.id)
  for (const address of session.addresses) await callPeer(session.client, address, 'cluster.init', { cluster, voters })
  printProgress(`voters: ${voters.join(', ')}`)
  printRecord(session.output, { cluster })
  return exitCodes.ok
}
