/** Commands that only show: `status`, `vm`, `server`, `route`, `limit`; and `cluster init`. */
import { randomUUID } from 'node:crypto'
import type { Command } from 'commander'
import { LynxError } from '@lynxcourse/base'
import { callPeer } from '@lynxcourse/daemon'
import { exitCodes } from '../../utils/exitCodes.js'
import { printOne, printProgress, printRows } from '../../utils/printing.js'
import type { Row } from '../../utils/printing.js'
import { call } from '../session.js'
import type { Session } from '../session.js'
import { action } from './action.js'

async function statusOf (session: Session, address: string): Promise<Row> {
  try {
    return { address, ...await callPeer<Row>(session.client, address, 'query.status', {}) }
  } catch (err) {
    return { address, vm: '?', error: (err as Error).message }
  }
}

interface LogStatus { readonly role: string, readonly term: number, readonly commit: number }

/** Adds the commands. */
export function addViewCommands (program: Command): void {
  program.command('status').description('show the VMs at the given addresses').action(action(async session => {
    const rows = await Promise.all(session.addresses.map(async address => await statusOf(session, address)))
    const flat = rows.map(row => {
      const log = row['log'] as LogStatus | null | undefined
      return { ...row, role: log?.role, term: log?.term, commit: log?.commit }
    })
    printRows(session.output, session.output === 'json' ? rows : flat, ['vm', 'address', 'region', 'current', 'confirmedAgeMs', 'version', 'role', 'term', 'commit', 'open', 'error'])
    return rows.some(row => row['error'] !== undefined) ? exitCodes.failed : exitCodes.ok
  }))
  const vm = program.command('vm').description('VMs of this system')
  vm.command('list').description('list VMs').action(action(async session => {
    printRows(session.output, await call<Row[]>(session, 'query.vms'), ['key', 'state', 'region', 'failureDomain', 'roles', 'http', 'rpc', 'life'])
    return exitCodes.ok
  }))
  const server = program.command('server').description('backend servers')
  server.command('list').description('list backend servers as the asked VM sees them').action(action(async session => {
    printRows(session.output, await call<Row[]>(session, 'query.servers'), ['key', 'service', 'state', 'seenAs', 'region', 'failureDomain', 'address', 'slots', 'inFlight', 'latencyMs'])
    return exitCodes.ok
  }))
  const limit = program.command('limit').description('shares of caps')
  limit.command('list').description('list shares').action(action(async session => {
    printRows(session.output, await call<Row[]>(session, 'query.limits'), ['resource', 'holder', 'amount', 'ceiling'])
    return exitCodes.ok
  }))
  const route = program.command('route').description('routing decisions')
  route.command('explain <service> <client>').description('show where a client\'s request would go now, and why').action(action(async (session, [service, client]) => {
    printOne(session.output, await call<Row>(session, 'query.explain', { service, client }))
    return exitCodes.ok
  }))
  const cluster = program.command('cluster').description('the control VMs')
  cluster.command('init').description('found a new cluster of the control VMs at the given addresses; once only').action(action(async session => await initCluster(session)))
}

interface Info { readonly id: string, readonly cluster?: string }

/** Founds a cluster. All named VMs must be blank: a VM with a lost disk must join, never found anew. */
async function initCluster (session: Session): Promise<number> {
  const infos = await Promise.all(session.addresses.map(async address => await callPeer<Info>(session.client, address, 'cluster.info', {})))
  const taken = infos.find(info => info.cluster !== undefined)
  if (taken !== undefined) throw new LynxError('badRequest', `${taken.id} belongs to cluster ${taken.cluster}`, { step: 'init' })
  const cluster = randomUUID()
  const voters = infos.map(info => info.id)
  for (const address of session.addresses) await callPeer(session.client, address, 'cluster.init', { cluster, voters })
  printProgress(`voters: ${voters.join(', ')}`)
  printOne(session.output, { cluster })
  return exitCodes.ok
}
