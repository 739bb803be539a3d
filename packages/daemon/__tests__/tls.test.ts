/** Authorization of operators, VMs and backend servers by their certificates. */
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

function connectAs (identity: TlsIdentity | undefined): RpcClient {
  const client = createRpcClient({ timeoutMs: 3000, localAddress: '', tls: () => identity, metrics: undefined })
  clients.push(client)
  return client
}

async function getOutcome (client: RpcClient, method: string, params: object = {}): Promise<string> {
  return await callPeer(client, rpc, method, params).then(() => 'done', (err: unknown) => isLynxError(err) ? `${err.code} ${err.field ?? ''}`.trim() : getErrorMessage(err))
}

const change = { change: { type: 'cancelDrain', changeId: 'change-tls-1', operator: 'mallory', drain: 'none' } }
const announcement = { server: 's-1', service: 'offers', address: '127.0.0.1:9', failureDomain: 'kochi-a', slots: 3, connections: 330, state: 'serving', incarnation: 1, seq: 1 }

test('an operator may create a cluster, query and change; the recorded name is the one in the certificate', async () => {
  const operator = connectAs(await authority.sign('operator:asha'))
  const info = await callPeer<{ id: string }>(operator, rpc, 'cluster.info', {})
  assert.equal(await getOutcome(operator, 'cluster.init', { cluster: 'tls-cluster', voters: [info.id] }), 'done')
  await waitForEvent('the VM leads', async () => (await callPeer<{ current: boolean }>(operator, rpc, 'query.status', {})).current)
  const answer = await callPeer<{ ok: boolean }>(operator, rpc, 'change.submit', { change: { type: 'publishProfile', changeId: 'change-tls-0', operator: 'mallory', expectedVersion: 0, profile: { name: 'desk', places: ['kochi'] } } })
  assert.equal(answer.ok, true)
  const [item] = await callPeer<Array<{ origin: { operator: string } }>>(operator, rpc, 'query.profiles', {})
  assert.equal(item?.origin.operator, 'asha')
})

test('a client without a certificate, with one of another authority, or with no role in its name is rejected', async () => {
  assert.match(await getOutcome(connectAs(undefined), 'query.status'), /peerFailed/)
  const otherAuthority = await createCertificateAuthority()
  const own = await authority.sign('operator:x')
  assert.match(await getOutcome(connectAs({ ...await otherAuthority.sign('operator:asha'), ca: own.ca }), 'query.status'), /peerFailed/)
  assert.match(await getOutcome(connectAs(await authority.sign('somebody')), 'query.status'), /peerFailed|notAllowed/)
})

test('each role may call only its own methods', async () => {
  const operator = connectAs(await authority.sign('operator:asha'))
  const server = connectAs(await authority.sign('server:s-1'))
  const vm = connectAs(await authority.sign('vm:vm-2'))
  assert.equal(await getOutcome(server, 'change.submit', change), 'notAllowed')
  assert.equal(await getOutcome(server, 'sync.ask'), 'notAllowed')
  assert.equal(await getOutcome(operator, 'claims.submit'), 'notAllowed')
  assert.equal(await getOutcome(operator, 'log.message'), 'notAllowed')
  assert.equal(await getOutcome(vm, 'cluster.init'), 'notAllowed')
  assert.equal(await getOutcome(vm, 'server.announce', announcement), 'notAllowed')
})

test('a VM reports and claims only as itself', async () => {
  const vm = connectAs(await authority.sign('vm:vm-2'))
  const report = { holder: 'vm-3/x', serial: 0, usages: [], version: 0, remaining: [], loads: [] }
  assert.equal(await getOutcome(vm, 'leader.report', report), 'notAllowed holder')
  assert.equal(await getOutcome(vm, 'leader.report', { ...report, holder: 'vm-2/x' }), 'done')
  const command = { type: 'claim', id: '01a237ff-b2a5-7d33-9268-b84c79a51efa', holder: 'vm-3/x', token: 't' }
  assert.equal(await getOutcome(vm, 'claims.submit', { commands: [command] }), 'notAllowed holder')
})

test('a server announces only itself, at its own address, and not over plain HTTP', async () => {
  const server = connectAs(await authority.sign('server:s-1'))
  assert.equal(await getOutcome(server, 'server.announce', announcement), 'done')
  assert.equal(await getOutcome(server, 'server.announce', { ...announcement, server: 's-2' }), 'notAllowed server')
  assert.equal(await getOutcome(server, 'server.announce', { ...announcement, address: '127.0.0.7:9' }), 'notAllowed address')
  const res = await request(`${http}/v1/announce`, { method: 'POST', body: JSON.stringify(announcement) })
  await res.body.dump()
  assert.equal(res.statusCode, 403)
})

test('changed files are reloaded without dropping connections', async () => {
  const operator = connectAs(await authority.sign('operator:asha'))
  const nextAuthority = await createCertificateAuthority()
  const nextIdentity = await nextAuthority.sign('vm:vm-1')
  const newOperator = connectAs(await nextAuthority.sign('operator:ravi'))
  assert.equal(await getOutcome(operator, 'query.status'), 'done')
  await writeIdentityFiles(folder, nextIdentity)
  await waitForEvent('the new authority is in use', async () => {
    // Keeps the connection busy: the server closes a connection that is idle for 5 s, whatever files are in use.
    assert.equal(await getOutcome(operator, 'query.status'), 'done', 'the open connection still works')
    refreshPools(newOperator)
    return await getOutcome(newOperator, 'query.status') === 'done'
  })
  assert.equal(await getOutcome(operator, 'query.status'), 'done', 'the open connection still works')
  // Makes enough calls at once that the VM's own client opens new connections, which are verified by the new authority.
  await Promise.all(Array.from({ length: 12 }, async () => await callPeer(daemon.node.client, rpc, 'query.status', {})))
})
