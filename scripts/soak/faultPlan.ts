/** Draws the faults of a run from its seed: series of overlapping faults, each followed by a fault-free period. */
import { hashText, createRandom } from '@lynxcourse/base'
import type { Random } from '@lynxcourse/base'
import { drawCrowds } from './crowdPlan.js'
import type { CrowdStep } from './crowdPlan.js'
import type { LinkFault } from './faultProxy.js'

/** A fault or a planned change; `at` is in milliseconds after the start of the traffic. */
export type SoakStep = VmStep | CrowdStep | { readonly at: number } & (
  | { readonly kind: 'killCore', readonly forMs: number }
  | { readonly kind: 'link', readonly vm: number, readonly side: 'rpc' | 'callers', readonly fault: Exclude<LinkFault, 'none'>, readonly forMs: number }
  | { readonly kind: 'reset', readonly vm: number, readonly side: 'rpc' | 'callers' }
  | { readonly kind: 'serverLink', readonly server: number, readonly fault: Exclude<LinkFault, 'none'>, readonly forMs: number }
  | { readonly kind: 'serverReset' | 'serverCrash' | 'serverDrain', readonly server: number }
  | { readonly kind: 'change' | 'race' }
  | { readonly kind: 'largeChanges', readonly count: number, readonly routes: number }
  | { readonly kind: 'evacuate', readonly domain: number, readonly forMs: number }
  | { readonly kind: 'domainLink', readonly domain: number, readonly fault: Exclude<LinkFault, 'none'>, readonly forMs: number }
  | { readonly kind: 'burst', readonly vm?: number, readonly forMs: number }
  | { readonly kind: 'shortage', readonly vm: number, readonly forMs: number }
  | { readonly kind: 'crashingCaller', readonly forMs: number }
  | { readonly kind: 'serverLimit', readonly server: number, readonly perSecond: number, readonly forMs: number }
  | { readonly kind: 'serverPause', readonly server: number, readonly pauseMs: number, readonly forMs: number }
  | { readonly kind: 'serverLeave', readonly server: number }
  | { readonly kind: 'shedding', readonly fraction: number, readonly forMs: number }
)

type Evacuation = Extract<SoakStep, { readonly kind: 'evacuate' }>

/** A fault of one VM's process; `wipe` empties a control VM's disk, `tear` leaves a partial record at the end of its log. */
export interface VmStep {
  readonly at: number
  readonly kind: 'kill' | 'term' | 'pause' | 'wipe' | 'tear'
  readonly vm: number
  readonly forMs: number
}

/** Size of the system that a plan is drawn for; control VMs have the lowest VM indexes. */
export interface SoakSize {
  readonly controls: number
  readonly entries: number
  readonly servers: number
  readonly domains: number
}

export interface SoakPlan {
  readonly seed: number
  readonly steps: readonly SoakStep[]
  /** Length of the phase with faults. */
  readonly lengthMs: number
}

/** Length of a fault series and of the fault-free period after it, which is longer than VMs may take to recover. */
const seriesMs = 6000
const faultFreeMs = 7000
const maxStepsPerSeries = 4
/** Shortest duration of a fault; a pause of this length or more counts as a fault. */
export const minFaultMs = 300
const maxFaultMs = 4000

/** Faults that accompany an evacuation begin at most this long before or after it. */
const evacuationOffsetMs = 300
/** Duration of link faults in an evacuated failure domain: about the interval between two TCP retransmissions. */
const minCutMs = 2500
const maxCutMs = 4100

/** Duration of a shortage of processor time: about the time that a starting entry VM takes to become ready. */
const minShortageMs = 3000
const maxShortageMs = 7000

/** How long a server names a limit, how many servers do in one series, and the limits, in requests per second. */
const limitMs = 9000
const limitedServers = 2
const serverLimits = [0, 0.5, 1.2, 3]

/** How long a server turns requests away, for how long it then wants none, and how many servers do in one series. */
const pausingMs = 4000
const serverPausesMs = [700, 1500, 3000]
const pausingServers = 2

/** How long all servers turn a part of their requests away, and how often all entry VMs are killed meanwhile. */
const sheddingMs = 10_000
const shedFraction = 0.8
const sheddingKills = 3
const sheddingKillIntervalMs = 2200

/** How long a caller sends a request that ends servers: longer than VMs may take to stop sending it. */
const crashingMs = 10_000

/** Numbers of large changes that follow each other without a pause, of their routes, and how long before or after the first one a disk is lost. */
const minLargeChanges = 4
const maxLargeChanges = 12
const minChangedRoutes = 300
const maxChangedRoutes = 1400
const largeChangesOffsetMs = 1500

/** Kinds that are drawn independently; the others accompany an evacuation or have a generator of their own. */
type StepKind = Exclude<SoakStep['kind'], 'domainLink' | 'burst' | 'shortage' | 'crashingCaller' | 'serverLimit' | 'serverPause' | 'serverLeave' | 'shedding' | 'largeChanges' | 'crowd'>

/** Relative frequencies of the kinds. */
const weights: ReadonlyArray<readonly [StepKind, number]> = [
  ['kill', 3], ['term', 4], ['pause', 3], ['wipe', 1], ['tear', 1], ['killCore', 1], ['link', 4], ['reset', 2],
  ['serverLink', 3], ['serverReset', 2], ['serverCrash', 2], ['serverDrain', 2], ['change', 3], ['race', 1], ['evacuate', 2]
]
const linkFaults: ReadonlyArray<Exclude<LinkFault, 'none'>> = ['silence', 'dropRequests', 'dropAnswers', 'delay']

/** Draws the plan of a seed; the same seed, size and number of series give the same plan. */
export function planSoak (seed: number, size: SoakSize, series: number): SoakPlan {
  const random = createRandom(seed)
  const limitRandom = createRandom(hashText(`limit ${seed}`))
  const noticeRandom = createRandom(hashText(`notice ${seed}`))
  const crowdRandom = createRandom(hashText(`crowd ${seed}`))
  // Shortages, crashes and limits use generators of their own, so that they don't affect the other faults of a seed.
  const shortageRandom = createRandom(hashText(`shortage ${seed}`))
  const sheddingRandom = createRandom(hashText(`shedding ${seed}`))
  const crashRandom = createRandom(hashText(`crash ${seed}`))
  const largeChangesRandom = createRandom(hashText(`large changes ${seed}`))
  const steps: SoakStep[] = []
  for (let seriesIndex = 0; seriesIndex < series; seriesIndex++) {
    const start = seriesIndex * (seriesMs + faultFreeMs)
    const count = 1 + drawInt(random, maxStepsPerSeries)
    let lostDisk: SoakStep | undefined
    for (let stepIndex = 0; stepIndex < count; stepIndex++) {
      const kind = drawKind(random)
      // At most one disk per series: confirmed changes survive the loss of a minority of disks only.
      if (kind === 'wipe' && lostDisk !== undefined) continue
      const step = drawStep(random, size, kind, start + drawInt(random, seriesMs))
      if (kind === 'wipe') lostDisk = step
      steps.push(step)
      if (step.kind === 'evacuate') steps.push(...drawEvacuationFaults(random, size, step))
    }
    steps.push(...drawShortage(shortageRandom, size, start), ...drawCrashingCaller(crashRandom, start), ...drawServerLimits(limitRandom, size, start), ...drawNotices(noticeRandom, size, start), ...drawShedding(sheddingRandom, size, start), ...drawLargeChanges(largeChangesRandom, size, start, lostDisk), ...drawCrowds(crowdRandom, size.controls + size.entries, start, seriesMs))
  }
  steps.sort((a, b) => a.at - b.at)
  return { seed, steps, lengthMs: series * (seriesMs + faultFreeMs) }
}

function drawInt (random: Random, below: number): number {
  return Math.floor(random() * below)
}

function drawKind (random: Random): StepKind {
  let remaining = random() * weights.reduce((sum, [, weight]) => sum + weight, 0)
  for (const [kind, weight] of weights) {
    remaining -= weight
    if (remaining < 0) return kind
  }
  return 'change'
}

function drawStep (random: Random, size: SoakSize, kind: StepKind, at: number): SoakStep {
  const forMs = minFaultMs + drawInt(random, maxFaultMs - minFaultMs)
  const vm = drawInt(random, size.controls + size.entries)
  const control = drawInt(random, size.controls)
  const server = drawInt(random, size.servers)
  const fault = linkFaults[drawInt(random, linkFaults.length)] ?? 'silence'
  const side = vm < size.controls || random() < 0.5 ? 'rpc' : 'callers'
  switch (kind) {
    case 'kill':
    case 'term':
    case 'pause': return { at, kind, vm, forMs }
    case 'wipe':
    case 'tear': return { at, kind, vm: control, forMs }
    case 'killCore': return { at, kind, forMs: Math.min(forMs, 1000) }
    case 'link': return { at, kind, vm, side, fault, forMs }
    case 'reset': return { at, kind, vm, side }
    case 'serverLink': return { at, kind, server, fault, forMs }
    case 'serverReset':
    case 'serverCrash':
    case 'serverDrain': return { at, kind, server }
    case 'change':
    case 'race': return { at, kind }
    case 'evacuate': return { at, kind, domain: drawInt(random, size.domains), forMs: forMs + faultFreeMs }
  }
}

/** Draws the faults around an evacuation: a link fault at its servers, perhaps a paused entry VM, perhaps more callers. */
function drawEvacuationFaults (random: Random, size: SoakSize, { at, domain }: Evacuation): SoakStep[] {
  const drawTime = (): number => Math.max(0, at - evacuationOffsetMs + drawInt(random, 2 * evacuationOffsetMs))
  const fault = random() < 0.75 ? 'silence' : 'dropAnswers'
  const steps: SoakStep[] = [{ at: drawTime(), kind: 'domainLink', domain, fault, forMs: minCutMs + drawInt(random, maxCutMs - minCutMs) }]
  if (random() < 0.5) steps.push({ at: drawTime(), kind: 'pause', vm: size.controls + drawInt(random, size.entries), forMs: minFaultMs + drawInt(random, maxFaultMs - minFaultMs) })
  if (random() < 0.5) steps.push({ at: drawTime(), kind: 'burst', forMs: maxFaultMs })
  return steps
}

/**
 * Draws a shortage of processor time at one entry VM. Half of the shortages begin with a restart of the VM, and half come
 * with a burst of callers to it.
 */
function drawShortage (random: Random, size: SoakSize, start: number): SoakStep[] {
  const at = start + drawInt(random, seriesMs / 2)
  const vm = size.controls + drawInt(random, size.entries)
  const forMs = minShortageMs + drawInt(random, maxShortageMs - minShortageMs)
  const steps: SoakStep[] = [{ at, kind: 'shortage', vm, forMs }]
  if (random() < 0.5) steps.unshift({ at, kind: 'kill', vm, forMs: minFaultMs })
  if (random() < 0.5) steps.push({ at, kind: 'burst', vm, forMs })
  return steps
}

/** Draws, for half of the series, a caller whose requests end the servers that run them. */
function drawCrashingCaller (random: Random, start: number): SoakStep[] {
  const at = start + drawInt(random, seriesMs / 2)
  return random() < 0.5 ? [{ at, kind: 'crashingCaller', forMs: crashingMs }] : []
}

/** Draws, for half of the series, servers that name limits for the requests of all VMs together. */
function drawServerLimits (random: Random, size: SoakSize, start: number): SoakStep[] {
  if (random() < 0.5) return []
  return Array.from({ length: limitedServers }, () => {
    const at = start + drawInt(random, seriesMs / 2)
    return { at, kind: 'serverLimit', server: drawInt(random, size.servers), perSecond: serverLimits[drawInt(random, serverLimits.length)] ?? 1, forMs: limitMs }
  })
}

/** Draws, for a third of the series, servers that turn most requests away while entry VMs are killed again and again. */
function drawShedding (random: Random, size: SoakSize, start: number): SoakStep[] {
  if (random() < 2 / 3) return []
  const at = start + drawInt(random, seriesMs / 2)
  const kills = Array.from({ length: sheddingKills }, (_, round) => Array.from({ length: size.entries }, (_, entry): SoakStep =>
    ({ at: at + (round + 1) * sheddingKillIntervalMs, kind: 'kill', vm: size.controls + entry, forMs: minFaultMs })))
  return [{ at, kind: 'shedding', fraction: shedFraction, forMs: sheddingMs }, ...kills.flat()]
}

/**
 * Draws, for two thirds of the series, large changes in quick succession around the loss of a control VM's disk. A series that has no
 * lost disk gets one.
 */
function drawLargeChanges (random: Random, size: SoakSize, start: number, lostDisk: SoakStep | undefined): SoakStep[] {
  const isDrawn = random() < 2 / 3
  const wipe = { at: start + drawInt(random, seriesMs / 2), kind: 'wipe' as const, vm: drawInt(random, size.controls), forMs: minFaultMs + drawInt(random, maxFaultMs - minFaultMs) }
  const at = Math.max(start, (lostDisk ?? wipe).at - largeChangesOffsetMs + drawInt(random, 2 * largeChangesOffsetMs))
  const count = minLargeChanges + drawInt(random, maxLargeChanges - minLargeChanges)
  const routes = minChangedRoutes + drawInt(random, maxChangedRoutes - minChangedRoutes)
  if (!isDrawn) return []
  const changes: SoakStep = { at, kind: 'largeChanges', count, routes }
  return lostDisk === undefined ? [wipe, changes] : [changes]
}

/** Draws, for half of the series, servers that turn requests away and ask for pauses, and for half, one that says that it leaves. */
function drawNotices (random: Random, size: SoakSize, start: number): SoakStep[] {
  const steps: SoakStep[] = []
  if (random() < 0.5) {
    for (let count = 0; count < pausingServers; count++) {
      const pauseMs = serverPausesMs[drawInt(random, serverPausesMs.length)] ?? 1000
      steps.push({ at: start + drawInt(random, seriesMs / 2), kind: 'serverPause', server: drawInt(random, size.servers), pauseMs, forMs: pausingMs })
    }
  }
  if (random() < 0.5) steps.push({ at: start + drawInt(random, seriesMs / 2), kind: 'serverLeave', server: drawInt(random, size.servers) })
  return steps
}
