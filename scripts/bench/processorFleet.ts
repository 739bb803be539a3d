/** A fleet of the deployed program on loopback, for measurements of processor time: control VMs, entry VMs, stand-in servers. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdirSync, mkdtempSync, openSync, readFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, createServer, request as httpRequest } from 'node:http'
import type { IncomingMessage, Server } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { kill, sleep, waitForExit, waitUntil } from '../support/processes.js'

const program = fileURLToPath(new URL('../../../target/lynxcourse.cjs', import.meta.url))
const host = 'example.test'
const service = 'desk'
const announceIntervalMs = 1500
const watchMs = 1000
const warmupS = 3
const internalPort = 47_310
const controlPort = 47_311
const directoryPort = 47_312
const callerPort = 47_313
const readyPort = 47_314

/** A running VM. All VMs use the same ports, so that each has its own loopback address. */
export interface MeasuredVm {
  readonly name: string
  readonly ip: string
  readonly role: 'control' | 'entry'
  readonly child: ChildProcess
  readonly logFile: string
}

export interface FleetPlan {
  readonly controls: number
  readonly entries: number
  readonly servers: number
  /** Entry VMs of which only the watches are there: they take part in what grows with the number of entry VMs. */
  readonly watchers: number
  /** Flags of the runtime. The code cache is used only under the flags that it was created with. */
  readonly runtimeFlags: readonly string[]
  /** Folder for V8 profiles of the VMs; undefined for none. */
  readonly profileFolder: string | undefined
}

export interface MeasuredFleet extends AsyncDisposable {
  readonly plan: FleetPlan
  readonly folder: string
  readonly vms: MeasuredVm[]
  readonly servers: StandInServer[]
  isStopped: boolean
}

export interface StandInServer {
  readonly id: string
  readonly server: Server
  isDraining: boolean
  readonly startedAt: number
  seq: number
  timer: NodeJS.Timeout | undefined
}

/** Returns the flags of the runtime in the deploy file. */
export function readDeployedFlags (): string[] {
  const deployFile = fileURLToPath(new URL('../../../deploy/system.toml', import.meta.url))
  const line = readFileSync(deployFile, 'utf8').split('\n').find(text => text.startsWith('run =')) ?? ''
  return line.split(' ').filter(word => word.startsWith('--'))
}

/** Returns the processor time that all threads of a process have used, in milliseconds. */
export function getProcessorMs (pid: number): number {
  const folder = `/proc/${pid}/task`
  return readdirSync(folder).reduce((sum, task) => sum + Number(readFileSync(`${folder}/${task}/schedstat`, 'utf8').split(' ')[0]), 0) / 1e6
}

/** Starts the VMs, and configures their routes; no server announces itself yet. */
export async function startMeasuredFleet (plan: FleetPlan): Promise<MeasuredFleet> {
  const folder = mkdtempSync(join(tmpdir(), 'lynx-processor-'))
  const fleet: MeasuredFleet = { plan, folder, vms: [], servers: [], isStopped: false, [Symbol.asyncDispose]: async () => await stopFleet(fleet) }
  for (let index = 0; index < plan.controls; index++) fleet.vms.push(startVm(fleet, 'control', index))
  for (let index = 0; index < plan.entries; index++) fleet.vms.push(startVm(fleet, 'entry', index))
  await waitUntil('the control VMs accept calls', async () => {
    await Promise.all(listVms(fleet, 'control').map(async vm => await checkPort(vm.ip, controlPort)))
    return true
  })
  await waitUntil('the routes are stored', async () => await post(getControlIp(fleet, 0), controlPort, '/api/config/replace', routes, { 'x-lynxcourse-base-version': '00000000' }) === 200)
  await waitUntil('the entry VMs are ready', async () => {
    const statuses = await Promise.all(listVms(fleet, 'entry').map(async ({ ip }) => await send({ host: ip, port: readyPort, path: '/api/ready' })))
    return statuses.every(status => status === 200)
  })
  for (let index = 0; index < plan.watchers; index++) watch(fleet, index).catch(() => undefined)
  return fleet
}

/** Keeps one watch open, as an entry VM does. */
async function watch (fleet: MeasuredFleet, index: number): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  const self = { name: `watcher-${index}`, address: `127.0.23.${index + 1}:${callerPort}`, failureDomain: `z${index % 3}`, region: `r${index % 3}`, isReady: true }
  let version = 0
  let weights = 0
  while (!fleet.isStopped) {
    const text = JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'fleet.watch', params: { version, waitMs: version === 0 ? 0 : watchMs, self, weights } })
    const reply = await receive({ host: getControlIp(fleet, index), port: internalPort, path: '/rpc', method: 'POST', agent, headers: { 'content-type': 'application/json' } }, text).catch(() => undefined)
    const result = reply === undefined ? undefined : (JSON.parse(reply.text) as WatchResult).result
    if (result === undefined) await sleep(watchMs)
    version = result?.delta?.version ?? version
    weights = result?.news.weights?.version ?? weights
  }
  agent.destroy()
}

interface WatchResult { readonly result?: { readonly delta?: { readonly version: number }, readonly news: { readonly weights?: { readonly version: number } } } }

export function listVms ({ vms }: MeasuredFleet, role: MeasuredVm['role']): MeasuredVm[] {
  return vms.filter(vm => vm.role === role)
}

/** Returns the control VM that leads, by its log. */
export function findLeader (fleet: MeasuredFleet): MeasuredVm | undefined {
  return listVms(fleet, 'control').find(({ logFile }) => {
    const changes = readFileSync(logFile, 'utf8').split('\n').filter(line => line.includes('"Role changed."'))
    return changes.at(-1)?.includes('"to":"leader"') === true
  })
}

async function stopFleet (fleet: MeasuredFleet): Promise<void> {
  fleet.isStopped = true
  for (const { timer, server } of fleet.servers) {
    clearInterval(timer)
    server.close()
    server.closeAllConnections()
  }
  for (const { child } of fleet.vms) child.kill('SIGTERM')
  await Promise.all(fleet.vms.map(async ({ child }) => await waitForExit(child)))
  rmSync(fleet.folder, { recursive: true, force: true })
}

/** Kills a control VM, empties its disk and starts it again; returns the VM with its new process. */
export async function restartWithEmptyDisk (fleet: MeasuredFleet, vm: MeasuredVm): Promise<MeasuredVm> {
  await kill(vm.child)
  rmSync(join(fleet.folder, vm.name), { recursive: true, force: true })
  const started = startVm(fleet, vm.role, listVms(fleet, vm.role).indexOf(vm), false)
  fleet.vms.splice(fleet.vms.indexOf(vm), 1, started)
  return started
}

function startVm (fleet: MeasuredFleet, role: MeasuredVm['role'], index: number, isFirstStart = true): MeasuredVm {
  const { folder, plan: { profileFolder, runtimeFlags, controls } } = fleet
  const name = `${role}-${index}`
  const ip = `127.0.${role === 'control' ? 20 : 21}.${index + 1}`
  const seeds = Array.from({ length: controls }, (_, control) => `"127.0.20.${control + 1}:${controlPort}"`)
  const common = `NodeName = "${name}"\nIp = "${ip}"\nZone = "z${index % 3}"\nRegion = "r${index % 3}"\nInternalPorts = [${internalPort}, ${internalPort}]\nSeeds = [${seeds.join()}]\nFirstStart = ${String(isFirstStart)}\nBounds = ["GraceS=6", "QuotaWindowS=5", "QuotaOverage=0.1", "QuotaSlack=20"]\n`
  const own = role === 'control' ? `Serves = ["control_plane", "directory"]\nDataDir = "${join(folder, name)}"\n` : 'Serves = ["edge"]\n'
  const listen = role === 'control' ? `Control = "${ip}:${controlPort}"\nDirectory = "${ip}:${directoryPort}"\n` : `Frontend = "${ip}:${callerPort}"\nReady = "${ip}:${readyPort}"\n`
  mkdirSync(join(folder, name))
  const file = join(folder, `${name}.toml`)
  writeFileSync(file, `${common}${own}[Zones]\nz0 = "r0"\nz1 = "r1"\nz2 = "r2"\n[Listen]\n${listen}`)
  const logFile = join(folder, `${name}.log`)
  const profileFlags = profileFolder === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${profileFolder}`, `--cpu-prof-name=${name}.cpuprofile`]
  const out = openSync(logFile, 'a')
  const child = spawn(process.execPath, [...runtimeFlags, ...profileFlags, program, role, '--config', file], { stdio: ['ignore', out, out] })
  return { name, ip, role, child, logFile }
}

const routeTimeoutS = 2
const teamCount = 73
/** Requests per second and burst of a team: about what 1,400 requests per second over all teams need. */
const teamRate = 25
export const routes = {
  Version: '00000001',
  Routes: {
    Columns: ['Name', 'Host', 'PathPrefix', 'Kind', 'TimeoutS', 'TargetLatencyS', 'Priority', 'Service', 'MaxAttempts', 'Sticky'],
    Rows: ['a', 'b', 'c', 'd'].map(name => [name, host, `/${name}/`, name === 'b' ? 'unsafe' : 'safe', 2, 0.7, 1, service, 2, true])
  },
  Services: { Columns: ['Name', 'HealthPath', 'MaxConns', 'WarmupS', 'WarmupPerS'], Rows: [[service, '/health', 1200, warmupS, 7.2]] },
  Tenants: { Columns: ['Name', 'ApiKeys', 'RatePerS', 'Burst'], Rows: Array.from({ length: teamCount }, (_, team) => [`team-${team}`, [`key-${team}`], teamRate, teamRate]) },
  Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 1_048_576, HeaderTimeoutS: 3, IdleTimeoutS: 15 }
}

function getControlIp (fleet: MeasuredFleet, index: number): string {
  const controls = listVms(fleet, 'control')
  return controls[index % controls.length]?.ip ?? ''
}

async function checkPort (ip: string, port: number): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    const socket = connect({ host: ip, port }, () => { socket.destroy(); resolve() })
    socket.once('error', reject)
  })
}

const newConnection = new Agent({ keepAlive: false })

interface Outgoing { readonly host: string, readonly port: number, readonly path: string, readonly method?: string, readonly headers?: Record<string, string>, readonly agent?: Agent }

/** Sends one request over a new connection; returns the status. */
async function send (options: Outgoing, body?: string): Promise<number> {
  return (await receive({ ...options, agent: newConnection }, body)).status
}

async function receive (options: Outgoing, body?: string): Promise<{ readonly status: number, readonly text: string }> {
  return await new Promise((resolve, reject) => {
    const req = httpRequest(options, res => {
      let text = ''
      res.setEncoding('utf8')
      res.on('data', (chunk: string) => { text += chunk })
      res.once('end', () => resolve({ status: res.statusCode ?? 0, text }))
      res.once('error', reject)
    })
    req.once('error', reject)
    req.end(body)
  })
}

async function post (ip: string, port: number, path: string, body: object, headers: Record<string, string> = {}): Promise<number> {
  const text = JSON.stringify(body)
  return await send({ host: ip, port, path, method: 'POST', headers: { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(text)), ...headers } }, text)
}

/** Adds or removes routes by one change of the operator; returns the time that the confirmation took, in milliseconds. */
export async function changeRoutes (fleet: MeasuredFleet, baseVersion: number, kind: 'add' | 'remove', names: readonly string[]): Promise<number> {
  const startedAt = performance.now()
  const status = await sendChange(fleet, baseVersion, kind === 'add' ? createUpsert(names, routeTimeoutS) : { Remove: { Routes: names } })
  if (status !== 200) throw new Error(`the change was answered with ${status}`)
  return performance.now() - startedAt
}

/** Creates the body of a change that adds routes, or replaces those of the same names. */
export function createUpsert (names: readonly string[], timeoutS: number): object {
  return { Upsert: { Routes: { Columns: routes.Routes.Columns, Rows: names.map(name => [name, host, `/${name}/`, 'safe', timeoutS, 0.7, 1, service, 2, true]) } } }
}

/** Sends a change that is based on a version and results in the next one; returns the status. */
export async function sendChange (fleet: MeasuredFleet, baseVersion: number, change: object): Promise<number> {
  const encode = (version: number): string => version.toString(16).padStart(8, '0')
  return await post(getControlIp(fleet, 0), controlPort, '/api/config/update', { Version: encode(baseVersion + 1), ...change }, { 'x-lynxcourse-base-version': encode(baseVersion) })
}

/** Waits until an entry VM has a route or no longer has it; asks every few milliseconds. */
export async function waitUntilInForce ({ ip }: MeasuredVm, kind: 'add' | 'remove', name: string): Promise<void> {
  await waitUntil(`${ip}: ${kind} ${name}`, async () => (kind === 'add') === (await send({ host: ip, port: callerPort, path: `/${name}/1`, headers: { host, authorization: 'Token key-0', 'x-lynxcourse-request-id': `${ip}-${name}-${performance.now()}` } }) !== 404))
}

/** Asks a VM for something small until disposal, and records the longest time that it took to answer. */
export function watchStalls ({ ip, role }: MeasuredVm): { readonly longestMs: () => number } & Disposable {
  const state = { isStopped: false, longestMs: 0 }
  const run = async (): Promise<void> => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    while (!state.isStopped) {
      const startedAt = performance.now()
      await receive(role === 'entry' ? { host: ip, port: readyPort, path: '/api/ready', agent } : { host: ip, port: directoryPort, path: '/api/resolve?Name=example.test&Region=r0&Zone=z0', agent }).catch(() => undefined)
      state.longestMs = Math.max(state.longestMs, performance.now() - startedAt)
      await sleep(stallProbeMs)
    }
    agent.destroy()
  }
  run().catch(() => undefined)
  return { longestMs: () => state.longestMs, [Symbol.dispose]: () => { state.isStopped = true } }
}

const stallProbeMs = 2
const minWorkMs = 20
const workSpreadMs = 60
const slots = 9
const answerBody = 'x'.repeat(1500)

/** Starts the stand-in servers; each announces itself periodically over a new connection. */
export async function startStandIns (fleet: MeasuredFleet): Promise<void> {
  for (let index = 0; index < fleet.plan.servers; index++) {
    const server = createStandIn()
    await new Promise<void>(resolve => server.listen(0, '127.0.22.1', resolve))
    const standIn: StandInServer = { id: `s${index}`, server, isDraining: false, startedAt: Date.now(), seq: 0, timer: undefined }
    fleet.servers.push(standIn)
    const announceOnce = (): void => { announce(fleet, index).catch(() => undefined) }
    setTimeout(() => {
      announceOnce()
      standIn.timer = setInterval(announceOnce, announceIntervalMs)
    }, index * announceIntervalMs / fleet.plan.servers)
  }
}

function createStandIn (): Server {
  let running = 0
  return createServer((req: IncomingMessage, res) => {
    running += 1
    req.resume()
    setTimeout(() => {
      running -= 1
      res.writeHead(200, {
        'x-lynxcourse-request-id': req.headers['x-lynxcourse-request-id'] ?? '',
        'x-lynxcourse-response-seal': 'seal',
        'x-lynxcourse-server-load': `${running},0,${slots}`,
        'content-length': answerBody.length
      })
      res.end(answerBody)
    }, minWorkMs + Math.random() * workSpreadMs)
  })
}

/** Announces a server to one of the control VMs. */
export async function announce (fleet: MeasuredFleet, index: number): Promise<void> {
  const standIn = fleet.servers[index]
  if (standIn === undefined) return
  standIn.seq += 1
  const { port } = standIn.server.address() as AddressInfo
  await post(getControlIp(fleet, index + standIn.seq), controlPort, `/api/instances/${standIn.id}/heartbeat`, {
    born: standIn.startedAt,
    Address: `127.0.22.1:${port}`,
    Info: { Service: service, Version: 'v1', Zone: `z${index % 3}`, Slots: slots },
    Status: { State: standIn.isDraining ? 'draining' : 'ready', Seq: standIn.seq, WarmupLeftS: Math.max(0, warmupS - (Date.now() - standIn.startedAt) / 1000) }
  })
}

export interface LoadCount { sent: number, served: number }

/** Sends requests to each entry VM at a steady rate, each over a new connection. */
export async function sendLoad (fleet: MeasuredFleet, perSecond: number, seconds: number, objects: number): Promise<LoadCount> {
  const count: LoadCount = { sent: 0, served: 0 }
  const pending: Array<Promise<void>> = []
  const intervalMs = 1000 / perSecond
  await Promise.all(listVms(fleet, 'entry').map(async ({ ip }) => {
    const startedAt = performance.now()
    for (let index = 0; index < perSecond * seconds; index++) {
      await sleep(Math.max(0, startedAt + index * intervalMs - performance.now()))
      count.sent += 1
      const path = `/${'abcd'[index % 4] ?? 'a'}/page/${index}`
      const headers = { host, authorization: `Token key-${index % teamCount}`, 'x-lynxcourse-request-id': `${ip}-${startedAt}-${index}`, 'x-lynxcourse-deadline-remaining': '4000', cookie: `X-Lynxcourse-Affinity-Key=${Math.floor(Math.random() * objects)}` }
      pending.push(send({ host: ip, port: callerPort, path, method: index % 4 === 1 ? 'POST' : 'GET', headers }, index % 4 === 1 ? 'y'.repeat(400) : undefined).then(status => { if (status === 200) count.served += 1 }, () => undefined))
    }
  }))
  await Promise.all(pending)
  return count
}
