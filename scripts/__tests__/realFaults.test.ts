/** Injects faults into real daemons in separate processes: kills, freezes, lost disks, concurrent operators. */
import assert from 'node:assert/strict'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, test } from 'node:test'
import { createRandom, createRequestId } from '@lynxcourse/base'
import { Client, request } from 'undici'
import { stringify } from 'yaml'
import { checkHealth, waitForExit, kill, runCliOrThrow, runCli, sleep, waitUntil } from '../support/processes.js'
import type { DaemonProcess } from '../support/processes.js'
import { restartVm, startSystem, stopSystem } from '../support/system.js'
import type { SmallSystem } from '../support/system.js'

const seed = 43
const random = createRandom(seed)
console.log(`seed ${seed}`)

const serverIp = '127.20.9.1'
const serviceMs = 400

let system: SmallSystem
let folder: string
let announceTimer: NodeJS.Timeout
let serverAddress = ''
const runs = new Map<string, number>()
const server = createServer((req, res) => {
  const id = req.headers['idempotency-key']
  if (typeof id === 'string') runs.set(id, (runs.get(id) ?? 0) + 1)
  setTimeout(() => res.end('whole'), req.url === '/slow' ? serviceMs : 1)
})

let seq = 0

/** Announces the fake server to all VMs; VMs that don't answer are ignored. */
async function announce (): Promise<void> {
  seq += 1
  const body = JSON.stringify({ server: 'offers-1', service: 'offers', address: serverAddress, failureDomain: 'kochi-a', slots: 50, connections: 330, state: 'serving', incarnation: 1, seq })
  for (const vm of system.http) {
    const client = new Client(`http://${vm}`, { localAddress: serverIp, connect: { timeout: 300 } })
    await client.request({ method: 'POST', path: '/v1/announce', body, headersTimeout: 500 }).then(async res => await res.body.dump(), () => undefined)
    client.destroy().catch(() => undefined)
  }
}

before(async () => {
  folder = mkdtempSync(join(tmpdir(), 'lynxcourse-real-'))
  await new Promise<void>(resolve => server.listen(0, serverIp, resolve))
  serverAddress = `${serverIp}:${(server.address() as AddressInfo).port}`
  system = await startSystem(4, folder, { log: { level: 'warn' }, times: { slowStartMs: 1 } }, true)
  await publish('desk', {}, 0)
  await runCliOrThrow(system.rpc, ['service', 'pick', 'offers', 'desk', '--wait'])
  await announce()
  announceTimer = setInterval(() => { announce().catch(() => undefined) }, 1500)
  for (const daemon of system.daemons) await waitUntil(`${daemon.plan.vm} serves`, async () => (await call(daemon)).status === 200)
})

after(async () => {
  clearInterval(announceTimer)
  await stopSystem(system)
  server.closeAllConnections()
  await new Promise<void>(resolve => server.close(() => resolve()))
  rmSync(folder, { recursive: true, force: true })
})

async function publish (name: string, fields: object, expectedVersion: number): Promise<void> {
  const file = join(folder, 'profile.yaml')
  writeFileSync(file, stringify({ name, places: ['kochi', 'chennai', 'mumbai'], lookupTtlS: 1, ...fields }))
  await runCliOrThrow(getLiveAddresses(), ['profile', 'publish', file, '--expected-version', String(expectedVersion)])
}

function getLiveAddresses (): string[] {
  return system.daemons.filter(daemon => daemon.child.exitCode === null && daemon.child.signalCode === null).sort((a, b) => Number(b.plan.isControl) - Number(a.plan.isControl)).map(daemon => daemon.plan.rpc)
}

async function getProfileVersion (name: string): Promise<number> {
  const { stdout } = await runCliOrThrow(getLiveAddresses(), ['profile', 'get', name])
  return (JSON.parse(stdout) as { itemVersion: number }).itemVersion
}

async function call (daemon: DaemonProcess, id?: string, path = '/x'): Promise<{ status: number, outcome: unknown }> {
  const headers: Record<string, string> = { 'lynx-deadline-ms': '4000' }
  if (id !== undefined) headers['idempotency-key'] = id
  const res = await request(`http://${daemon.plan.http}/s/offers${path}`, { method: id === undefined ? 'GET' : 'POST', headers })
  await res.body.dump()
  return { status: res.statusCode, outcome: res.headers['lynx-outcome'] }
}

async function findLeader (): Promise<DaemonProcess> {
  let leader: DaemonProcess | undefined
  await waitUntil('a leader is elected', async () => {
    const { stdout } = await runCli(getLiveAddresses(), ['status'])
    const rows = JSON.parse(stdout) as Array<{ vm: string, log: { role: string } | null }>
    leader = system.daemons.find(daemon => daemon.plan.vm === rows.find(row => row.log?.role === 'leader')?.vm)
    return leader !== undefined
  })
  return leader as DaemonProcess
}

function createId (): string {
  return createRequestId(Date.now(), random)
}

const waitUntilReady = async (daemon: DaemonProcess): Promise<void> => await waitUntil(`${daemon.plan.vm} is ready`, async () => await checkHealth(daemon.plan, '/readyz'))

test('the leader is killed: acknowledged changes remain, and new changes and claims are accepted', async () => {
  // Guards against this failure: an accepted change is lost.
  const leader = await findLeader()
  const before = await getProfileVersion('desk')
  await publish('desk', { queueLimit: 111 }, before)
  await kill(leader.child)
  await findLeader()
  assert.equal(await getProfileVersion('desk'), before + 1)
  await publish('desk', { queueLimit: 112 }, before + 1)
  const other = system.daemons.find(daemon => daemon !== leader) as DaemonProcess
  await waitUntil('a claim is granted', async () => (await call(other, createId())).outcome === 'done')
  restartVm(system, leader)
  await waitUntilReady(leader)
  assert.equal((await call(leader)).status, 200)
})

test('the leader is frozen past its lease: when it resumes, it makes no decision by its old configuration', async () => {
  // Guards against this failure: a VM acts on configuration that has been replaced.
  const leader = await findLeader()
  const before = await getProfileVersion('desk')
  leader.child.kill('SIGSTOP')
  const others = system.daemons.filter(daemon => daemon !== leader)
  await waitUntil('another VM is the leader', async () => {
    const { stdout } = await runCli(others.filter(daemon => daemon.plan.isControl).map(daemon => daemon.plan.rpc), ['status'])
    return (JSON.parse(stdout) as Array<{ log: { role: string } | null }>).some(row => row.log?.role === 'leader')
  })
  const file = join(folder, 'frozen.yaml')
  writeFileSync(file, stringify({ name: 'desk', places: ['kochi', 'chennai'], lookupTtlS: 1 }))
  await runCliOrThrow(others.map(daemon => daemon.plan.rpc), ['profile', 'publish', file, '--expected-version', String(before)])
  await sleep(5000)
  leader.child.kill('SIGCONT')
  const seen = await request(`http://${leader.plan.http}/v1/lookup?service=offers`)
  const body = await seen.body.json() as { version?: number }
  // The VM either refuses because its configuration may be stale, or has already received the change.
  const { stdout } = await runCliOrThrow(others.map(daemon => daemon.plan.rpc), ['profile', 'list'])
  const changed = (JSON.parse(stdout) as Array<{ name: string, version: number }>).find(row => row.name === 'desk')?.version
  assert.equal(changed, before + 1)
  if (seen.statusCode === 200) assert.ok((body.version ?? 0) > before)
  else assert.equal(seen.statusCode, 503)
  await waitUntilReady(leader)
  assert.equal(await getProfileVersion('desk'), before + 1)
})

test('a data folder is removed: the VM rejoins as a new member, and a second loss immediately afterwards loses no change', async () => {
  // Guards against this failure: accepted changes are lost.
  const leader = await findLeader()
  const [first, second] = system.daemons.filter(daemon => daemon.plan.isControl && daemon !== leader) as [DaemonProcess, DaemonProcess]
  const before = await getProfileVersion('desk')
  await publish('desk', { queueLimit: 120 }, before)
  await kill(first.child)
  rmSync(join(folder, first.plan.vm), { recursive: true, force: true })
  restartVm(system, first)
  await waitUntil('the VM is a voter under a new incarnation', async () => {
    const { stdout } = await runCli([first.plan.rpc], ['status'])
    const log = (JSON.parse(stdout) as Array<{ log: { id: string, members: Array<{ id: string, voter: boolean }> } | null }>)[0]?.log
    return log?.members.some(member => member.id === log.id && member.voter) ?? false
  })
  await kill(second.child)
  rmSync(join(folder, second.plan.vm), { recursive: true, force: true })
  assert.equal(await getProfileVersion('desk'), before + 1)
  await publish('desk', { queueLimit: 121 }, before + 1)
  restartVm(system, second)
  await waitUntilReady(second)
  assert.equal(await getProfileVersion('desk'), before + 2)
})

test('operators submit changes concurrently with the same expected version and resend them: one succeeds, and each gets the same answer again', async () => {
  const version = await getProfileVersion('desk')
  const files = ['a', 'b'].map(name => {
    const file = join(folder, `race-${name}.yaml`)
    writeFileSync(file, stringify({ name: 'desk', places: ['kochi', 'chennai'], lookupTtlS: 1, queueLimit: name === 'a' ? 130 : 140 }))
    return file
  })
  const race = async (): Promise<Array<{ code: number | null, stderr: string }>> => await Promise.all(files.map(async (file, index) =>
    await runCli(getLiveAddresses(), ['profile', 'publish', file, '--expected-version', String(version), '--change-id', `race-${seed}-${index}`])))
  const first = await race()
  assert.deepEqual(first.map(result => result.code).sort(), [0, 3])
  assert.match(first.find(result => result.code === 3)?.stderr ?? '', /by demo, change race-/)
  const again = await race()
  assert.deepEqual(again.map(result => result.code), first.map(result => result.code))
  assert.equal(await getProfileVersion('desk'), version + 1)
})

test('the VM that holds a claim is killed while the server processes the request: the id stays spent and runs once', async () => {
  // Guards against this failure: an offer is submitted twice.
  const holder = system.daemons.find(daemon => !daemon.plan.isControl) as DaemonProcess
  const other = system.daemons.find(daemon => daemon.plan.isControl) as DaemonProcess
  const id = createId()
  const lost = call(holder, id, '/slow').then(() => 'answered', () => 'lost')
  await waitUntil('the server has started the request', async () => runs.get(id) === 1)
  await kill(holder.child)
  assert.equal(await lost, 'lost')
  for (let tries = 0; tries < 3; tries++) assert.equal((await call(other, id)).outcome, 'unknown')
  assert.equal(runs.get(id), 1)
  restartVm(system, holder)
  await waitUntilReady(holder)
  assert.equal((await call(holder, id)).outcome, 'unknown')
  assert.equal(runs.get(id), 1)
})

test('SIGTERM ends a VM without cutting a request, with exit code 0', async () => {
  const leaver = system.daemons.find(daemon => !daemon.plan.isControl) as DaemonProcess
  const open = Promise.all(Array.from({ length: 5 }, async () => await call(leaver, createId(), '/slow')))
  await sleep(50)
  leaver.child.kill('SIGTERM')
  for (const reply of await open) assert.equal(reply.outcome, 'done')
  assert.equal(await waitForExit(leaver.child), 0)
  restartVm(system, leaver)
  await waitUntilReady(leaver)
})

test('bad settings end the daemon with exit code 2 and name the key', async () => {
  const file = join(folder, 'bad.yaml')
  writeFileSync(file, readFileSync(join(folder, `${system.plans[0]?.vm}.yaml`), 'utf8').replace('roles:', 'roles: [king]\nrolls:'))
  const { spawnSync } = await import('node:child_process')
  const program = new URL('../../../packages/daemon/dist/src/main.js', import.meta.url).pathname
  const result = spawnSync(process.execPath, [program, '--check-config', file], { encoding: 'utf8' })
  assert.equal(result.status, 2)
  assert.match(result.stderr, /bad\.yaml: roles\.0/)
})

test('the command line refuses bad input with exit code 2 and unknown things with 4', async () => {
  assert.equal((await runCli(getLiveAddresses(), ['drain', 'start', 'planet', 'x'])).code, 2)
  assert.equal((await runCli(getLiveAddresses(), ['drain', 'start', 'region', 'delhi'])).code, 2)
  assert.equal((await runCli(getLiveAddresses(), ['profile', 'get', 'none'])).code, 4)
  assert.equal((await runCli(['nowhere'], ['status'])).code, 2)
  assert.equal((await runCli(getLiveAddresses(), ['nonsense'])).code, 2)
  const bad = join(folder, 'bad-profile.yaml')
  writeFileSync(bad, stringify({ name: 'desk', places: ['kochi'], regionCaps: { kochi: -3 } }))
  const refused = await runCli(getLiveAddresses(), ['profile', 'publish', bad])
  assert.equal(refused.code, 2)
  assert.match(refused.stderr, /regionCaps\.kochi/)
})
