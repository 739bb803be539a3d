/** Measures the slopes of single modules: the lookup table, the directory and the state machine. */
import { brandId, loadChart, createRandom, createRequestId } from '@lynxcourse/base'
import { answerSyncRequest, buildSyncRequest, createDirectory, createUplink, defaultMembershipTimes, putRecord, applySyncAnswer } from '@lynxcourse/membership'
import type { ServerRecord, VmRecord } from '@lynxcourse/membership'
import { buildBlockTable, getTableBytes } from '@lynxcourse/routing'
import { applyEntry, createStateMachine, serializeStateMachine } from '@lynxcourse/state'
import type { StateMachine } from '@lynxcourse/state'
import { generateBlocks } from './path.js'
import { recordSlope } from './capacityFigures.js'
import type { CapacityFigures } from './capacityFigures.js'

function measureHeapBytes (): number {
  for (let times = 0; times < 3; times++) global.gc?.()
  return process.memoryUsage().heapUsed
}

/** Measures the heap that a value takes, in bytes. A first build beforehand keeps compiled code and caches out of the figure. */
function measureHeap<Value> (build: () => Value): { readonly value: Value, readonly bytes: number } {
  build()
  const before = measureHeapBytes()
  const value = build()
  return { value, bytes: measureHeapBytes() - before }
}

/** Measures the size and build time of the lookup table by number of blocks. */
export function measureBlocks (figures: CapacityFigures, quick: boolean): void {
  const sizes = quick ? [50_000, 100_000, 200_000] : [215_000, 430_000, 860_000]
  const bytes: Array<[number, number]> = []
  const buildTimes: Array<[number, number]> = []
  for (const size of sizes) {
    const blocks = generateBlocks(size)
    const startedAt = performance.now()
    const table = buildBlockTable(blocks)
    buildTimes.push([size, performance.now() - startedAt])
    bytes.push([size, getTableBytes(table)])
  }
  recordSlope(figures, 'look-up table memory', 'bytes', 'block', bytes)
  recordSlope(figures, 'look-up table build time', 'ms', 'block', buildTimes)
}

function createServerRecord (number: number): ServerRecord {
  return {
    kind: 'server', key: brandId(`site-${number % 2600}-server-${number}`), incarnation: 1_800_000_000_000, seq: 1, state: 'serving', service: brandId(`service-${number % 40}`), region: brandId(`region-${number % 41}`), failureDomain: brandId(`region-${number % 41}-a`), address: `127.20.${number >> 8 & 255}.${number & 255}:8080`, slots: 3, maxConnections: 330
  }
}

function createVmRecord (name: string): VmRecord {
  return { kind: 'vm', key: brandId(name), incarnation: 1, seq: 1, state: 'joined', region: brandId('r'), failureDomain: brandId('d'), roles: ['entry'], http: '127.0.0.1:1', rpc: '127.0.0.1:2', life: brandId('x') }
}

/** Measures memory, bytes sent and processor time per record of the directory. */
export function measureDirectory (figures: CapacityFigures, quick: boolean): void {
  const sizes = quick ? [1000, 2000, 4000] : [5000, 10_000, 20_000, 40_000]
  const memory: Array<[number, number]> = []
  const fullBytes: Array<[number, number]> = []
  const refreshCpu: Array<[number, number]> = []
  for (const size of sizes) {
    const parent = createDirectory(brandId('parent'), 'e1', defaultMembershipTimes, loadChart('vm'))
    const { value: child, bytes } = measureHeap(() => {
      const directory = createDirectory(brandId('child'), 'e2', defaultMembershipTimes, loadChart('vm'))
      for (let number = 0; number < size; number++) putRecord(directory, JSON.parse(JSON.stringify(createServerRecord(number))), 'direct', 0)
      return directory
    })
    memory.push([size, bytes])
    const uplink = createUplink()
    const request = buildSyncRequest(uplink, child, createVmRecord('child'), 0, 0)
    fullBytes.push([size, JSON.stringify(request).length])
    applySyncAnswer(uplink, child, request, answerSyncRequest(parent, request, 0, '', 0), 0)
    for (const entry of child.records.values()) entry.record = { ...entry.record, seq: entry.record.seq + 1 }
    const startedAt = performance.now()
    const refresh = buildSyncRequest(uplink, child, createVmRecord('child'), 0, defaultMembershipTimes.refreshMs)
    answerSyncRequest(parent, JSON.parse(JSON.stringify(refresh)), 0, '', defaultMembershipTimes.refreshMs)
    refreshCpu.push([size, (performance.now() - startedAt) * 1000])
  }
  recordSlope(figures, 'directory memory', 'bytes', 'record', memory)
  recordSlope(figures, 'bytes to pass all records on once', 'bytes', 'record', fullBytes)
  recordSlope(figures, 'processor time of one refresh, both ends', 'µs', 'record', refreshCpu)
}

/** Measures memory, snapshot size and apply time per claim. */
export function measureStateMachine (figures: CapacityFigures, quick: boolean): void {
  const sizes = quick ? [2000, 4000, 8000] : [20_000, 50_000, 100_000]
  const charts = { claim: loadChart('claim'), crashingRequest: loadChart('crashingRequest'), drain: loadChart('drain'), rollout: loadChart('rollout'), shift: loadChart('shift') }
  const random = createRandom(3)
  const memory: Array<[number, number]> = []
  const snapshotSizes: Array<[number, number]> = []
  const applyTimes: Array<[number, number]> = []
  for (const size of sizes) {
    let applyMs = 0
    const { value: machine, bytes } = measureHeap(() => {
      const built = createStateMachine(charts)
      applyMs = applyClaims(built, size, random)
      return built
    })
    applyTimes.push([size, applyMs * 1000])
    memory.push([size, bytes])
    snapshotSizes.push([size, serializeStateMachine(machine).length])
  }
  recordSlope(figures, 'register memory', 'bytes', 'claim kept', memory)
  recordSlope(figures, 'snapshot size', 'bytes', 'claim kept', snapshotSizes)
  recordSlope(figures, 'time to apply a claim and its end', 'µs', 'claim', applyTimes)
}

/** Applies a claim and its end for `size` requests; returns the time that applying took, in milliseconds. */
function applyClaims (machine: StateMachine, size: number, random: () => number): number {
  const at = 1_800_000_000_000
  let ms = 0
  for (let number = 0; number < size; number++) {
    const claim = { type: 'claim', id: createRequestId(at, random), holder: 'kochi-a-1/abcdefgh', token: `t${number}` }
    const end = { ...claim, type: 'settle', outcome: 'done', answer: { status: 200, contentType: 'application/json', body: 'eyJvayI6dHJ1ZX0=' } }
    // Parsed from JSON, as entries from the network are, so that no two entries share strings.
    const entries = [claim, end].map((command, offset) => ({ index: number * 2 + offset + 1, term: 1, at, body: { type: 'command' as const, command: JSON.parse(JSON.stringify(command)) as unknown } }))
    const startedAt = performance.now()
    for (const entry of entries) applyEntry(machine, entry)
    ms += performance.now() - startedAt
  }
  return ms
}
