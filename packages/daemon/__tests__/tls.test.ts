/** Who is let in: operators, VMs and backend servers by their certificates. */
import assert from 'node:assert/strict'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, test } from 'node:test'
import { isLynxError, getErrorMessage } from '@lynxcourse/base'
import { callPeer, createRpcClient, refreshPools, settingsSchema, createSilentLogs, startDaemon } from '@lynxcourse/daemon'
import type { Daemon, RpcClient } from '@lynxcourse/daemon'
import { request } from 'undici'
import { createCertificateAuthority, writeIdentityFiles } from './support/certificates.js'
import type { CertificateAuthority, TlsIdentity } from './support/certificates.js'
import { createSingleVmSettings, waitForEvent, testSeed, testTimes } from './support/daemonFixture.js'

let folder: string
let authority: CertificateAuthority
let daemon: Daemon
let rpc: string
let http: string
const clients: RpcClient[] = []

before(async () => {
  folder = await mkdtemp(join(tmpdir(), 'lynxcourse-tls-'))
  authority = await createCertificateAuthority()
  const tls = await writeIdentityFiles(folder, await authority.sign('vm:vm-1'))
  const cfg = settingsSchema.parse(await createSingleVmSettings(folder, { tls, times: testTimes }))
  daemon = await startDaemon(cfg, [], { logs: createSilentLogs(), seed: testSeed })
  rpc = cfg.listen.rpc
  http = `http://${cfg.listen.http}`
})

after(async () => {
  for (const client of clients) await client[Symbol.asyncDispose]()
  await daemon[Symbol.asyncDispose]()
  await rm(folder, { recursive: true, force: true })
})

function clientOf (identity: TlsIdentity | undefined): RpcClient {
  const client = createRpcClient({ timeoutMs: 3000, localAddress: '', tls: () => identity, metrics: undefined })
  clients.push(client)
  return client
}

async function outcome (client: RpcClient, method: string, params: object = {}): Promise<string> {
  return await callPeer(client, rpc, method, params).then(() => 'done', (err: unknown) => isLynxError(err) ? `${err.code} ${err.field ?? ''}`.trim() : getErrorMessage(err))
}

const change = { change: { type: 'cancelDrain', changeId: 'change-tls-1', operator: 'mallory', drain: 'none' } }
const announcement = { server: 's-1', service: 'offers', address: '127.0.0.1:9', failureDomain: 'kochi-a', slots: 3, connections: 330, state: 'serving', incarnation: 1, seq: 1 }

test('an operator may found, ask and change; the certificate says who it was', async () => {
  const operator = clientOf(await authority.sign('operator:asha'))
  const info = await callPeer<{ id: string }>(operator, rpc, 'cluster.info', {})
  assert.equal(await outcome(operator, 'cluster.init', { cluster: 'tls-cluster', voters: [info.id] }), 'done')
  await waitForEvent('leads', async () => (await callPeer<{ current: boolean }>(operator, rpc, 'query.status', {})).current)
  const answer = await callPeer<{ ok: boolean }>(operator, rpc, 'change.submit', { change: { type: 'publishProfile', changeId: 'change-tls-0', operator: 'mallory', expectedVersion: 0, profile: { name: 'desk', places: ['kochi'] } } })
  assert.equal(answer.ok, true)
  const [item] = await callPeer<Array<{ origin: { operator: string } }>>(operator, rpc, 'query.profiles', {})
  assert.equal(item?.origin.operator, 'asha')
})

test('without a certificate, with another authority\'s, or with no role in its name, nobody gets in', async () => {
  assert.match(await outcome(clientOf(undefined), 'query.status'), /peerFailed/)
  const strangers = await createCertificateAuthority()
  const own = await authority.sign('operator:x')
  assert.match(await outcome(clientOf({ ...await strangers.sign('operator:asha'), ca: own.ca }), 'query.status'), /peerFailed/)
  assert.match(await outcome(clientOf(await authority.sign('somebody')), 'query.status'), /peerFailed|notAllowed/)
})

test('each role may do only its own', async () => {
  const operator = clientOf(await authority.sign('operator:asha'))
  const server = clientOf(await authority.sign('server:s-1'))
  const vm = clientOf(await authority.sign('vm:vm-2'))
  assert.equal(await outcome(server, 'change.submit', change), 'notAllowed')
  assert.equal(await outcome(server, 'sync.ask'), 'notAllowed')
  assert.equal(await outcome(operator, 'claims.submit'), 'notAllowed')
  assert.equal(await outcome(operator, 'log.message'), 'notAllowed')
  assert.equal(await outcome(vm, 'cluster.init'), 'notAllowed')
  assert.equal(await outcome(vm, 'server.announce', announcement), 'notAllowed')
})

test('a VM speaks only for itself', async () => {
  const vm = clientOf(await authority.sign('vm:vm-2'))
  const report = { holder: 'vm-3/x', serial: 0, usages: [], version: 0, remaining: [], loads: [] }
  assert.equal(await outcome(vm, 'leader.report', report), 'notAllowed holder')
  assert.equal(await outcome(vm, 'leader.report', { ...report, holder: 'vm-2/x' }), 'done')
  const command = { type: 'claim', id: '01a237ff-b2a5-7d33-9268-b84c79a51efa', holder: 'vm-3/x', token: 't' }
  assert.equal(await outcome(vm, 'claims.submit', { commands: [command] }), 'notAllowed holder')
})

test('a server announces only itself, from its own address, and not by plain HTTP', async () => {
  const server = clientOf(await authority.sign('server:s-1'))
  assert.equal(await outcome(server, 'server.announce', announcement), 'done')
  assert.equal(await outcome(server, 'server.announce', { ...announcement, server: 's-2' }), 'notAllowed server')
  assert.equal(await outcome(server, 'server.announce', { ...announcement, address: '127.0.0.7:9' }), 'notAllowed address')
  const res = await request(`${http}/v1/announce`, { method: 'POST', body: JSON.stringify(announcement) })
  await res.body.dump()
  assert.equal(res.statusCode, 403)
})

test('changed files are taken over without dropping connections', async () => {
  const operator = clientOf(await authority.sign('operator:asha'))
  const next = await createCertificateAuthority()
  const nextIdentity = await next.sign('vm:vm-1')
  const newOperator = clientOf(await next.sign('operator:ravi'))
  assert.equal(await outcome(operator, 'query.status'), 'done')
  await writeIdentityFiles(folder, nextIdentity)
  await waitForEvent('the new authority is taken', async () => {
    // Kept in use: the server closes a connection that rests for five seconds, whatever files are in force.
    assert.equal(await outcome(operator, 'query.status'), 'done', 'the open connection serves on')
    refreshPools(newOperator)
    return await outcome(newOperator, 'query.status') === 'done'
  })
  assert.equal(await outcome(operator, 'query.status'), 'done', 'the open connection serves on')
  // Enough calls at once that the VM's own client has to open connections, which the new authority judges.
  await Promise.all(Array.from({ length: 12 }, async () => await callPeer(daemon.node.client, rpc, 'query.status', {})))
})
