/** Draws the faults of a soak from its seed: in series with calm between them, overlapping within a series. */
import { hashText, createRandom } from '@lynxcourse/base'
import type { Random } from '@lynxcourse/base'
import type { LinkFault } from './faultProxy.js'

/** A fault or a planned change, `at` milliseconds after the start of the traffic. */
export type SoakStep = VmStep | { readonly at: number } & (
  | { readonly kind: 'killCore', readonly forMs: number }
  | { readonly kind: 'link', readonly vm: number, readonly side: 'rpc' | 'callers', readonly fault: Exclude<LinkFault, 'none'>, readonly forMs: number }
  | { readonly kind: 'reset', readonly vm: number, readonly side: 'rpc' | 'callers' }
  | { readonly kind: 'serverLink', readonly server: number, readonly fault: Exclude<LinkFault, 'none'>, readonly forMs: number }
  | { readonly kind: 'serverReset' | 'serverCrash' | 'serverDrain', readonly server: number }
  | { readonly kind: 'change' | 'race' }
  | { readonly kind: 'evacuate', readonly domain: number, readonly forMs: number }
  | { readonly kind: 'domainLink', readonly domain: number, readonly fault: Exclude<LinkFault, 'none'>, readonly forMs: number }
  | { readonly kind: 'burst', readonly vm?: number, readonly forMs: number }
  | { readonly kind: 'shortage', readonly vm: number, readonly forMs: number }
)

type Evacuation = Extract<SoakStep, { readonly kind: 'evacuate' }>

/** A fault of one VM's process; `wipe` empties a control VM's disk, `tear` leaves half a record at the end of its log. */
export interface VmStep {
  readonly at: number
  readonly kind: 'kill' | 'term' | 'pause' | 'wipe' | 'tear'
  readonly vm: number
  readonly forMs: number
}

/** Sizes of the system that the plan is for; the control VMs come first. */
export interface SoakSize {
  readonly controls: number
  readonly entries: number
  readonly servers: number
  readonly domains: number
}

export interface SoakPlan {
  readonly seed: number
  readonly steps: readonly SoakStep[]
  /** Length of the traffic with faults. */
  readonly lengthMs: number
}

/** A series of faults, then calm for longer than disturbed VMs may take to be in touch again. */
const seriesMs = 6000
const calmMs = 7000
const maxStepsPerSeries = 4
/** Shortest freeze. */
export const minFaultMs = 300
const maxFaultMs = 4000

/** Faults begin this much before or after an evacuation that they go with. */
const evacuationOffsetMs = 300
/** Cuts of a failure domain that is evacuated: about as long as TCP waits between two resends. */
const minCutMs = 2500
const maxCutMs = 4100

/** An entry VM is short of processor time for about as long as one that starts takes to be in touch. */
const minShortageMs = 3000
const maxShortageMs = 7000

/** Kinds that are drawn by themselves; the others come with an evacuation or a shortage. */
type StepKind = Exclude<SoakStep['kind'], 'domainLink' | 'burst' | 'shortage'>

/** Kinds with their weights. */
const weights: ReadonlyArray<readonly [StepKind, number]> = [
  ['kill', 3], ['term', 4], ['pause', 3], ['wipe', 1], ['tear', 1], ['killCore', 1], ['link', 4], ['reset', 2],
  ['serverLink', 3], ['serverReset', 2], ['serverCrash', 2], ['serverDrain', 2], ['change', 3], ['race', 1], ['evacuate', 2]
]
const linkFaults: ReadonlyArray<Exclude<LinkFault, 'none'>> = ['silence', 'dropRequests', 'dropAnswers', 'delay']

/** Draws the plan of a seed; equal seeds and sizes give equal plans. */
export function planSoak (seed: number, size: SoakSize, series: number): SoakPlan {
  const random = createRandom(seed)
  // Draws of their own, so that the other faults of a seed don't depend on them.
  const shortageRandom = createRandom(hashText(`shortage ${seed}`))
  const steps: SoakStep[] = []
  for (let seriesIndex = 0; seriesIndex < series; seriesIndex++) {
    const start = seriesIndex * (seriesMs + calmMs)
    const count = 1 + drawInt(random, maxStepsPerSeries)
    let isDiskLost = false
    for (let stepIndex = 0; stepIndex < count; stepIndex++) {
      const kind = drawKind(random)
      // One disk at a time: what is confirmed outlives the loss of a minority of disks, not of more.
      if (kind === 'wipe' && isDiskLost) continue
      isDiskLost ||= kind === 'wipe'
      const step = drawStep(random, size, kind, start + drawInt(random, seriesMs))
      steps.push(step)
      if (step.kind === 'evacuate') steps.push(...drawEvacuationFaults(random, size, step))
    }
    steps.push(...drawShortage(shortageRandom, size, start))
  }
  steps.sort((a, b) => a.at - b.at)
  return { seed, steps, lengthMs: series * (seriesMs + calmMs) }
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
    case 'evacuate': return { at, kind, domain: drawInt(random, size.domains), forMs: forMs + calmMs }
  }
}

/** What goes wrong while a failure domain is evacuated: its servers are cut off or dark, an entry VM is frozen, many callers come. */
function drawEvacuationFaults (random: Random, size: SoakSize, { at, domain }: Evacuation): SoakStep[] {
  const drawTime = (): number => Math.max(0, at - evacuationOffsetMs + drawInt(random, 2 * evacuationOffsetMs))
  const fault = random() < 0.75 ? 'silence' : 'dropAnswers'
  const steps: SoakStep[] = [{ at: drawTime(), kind: 'domainLink', domain, fault, forMs: minCutMs + drawInt(random, maxCutMs - minCutMs) }]
  if (random() < 0.5) steps.push({ at: drawTime(), kind: 'pause', vm: size.controls + drawInt(random, size.entries), forMs: minFaultMs + drawInt(random, maxFaultMs - minFaultMs) })
  if (random() < 0.5) steps.push({ at: drawTime(), kind: 'burst', forMs: maxFaultMs })
  return steps
}

/** An entry VM gets a part of its time only, every second one from its start on, every second one under a burst of its own. */
function drawShortage (random: Random, size: SoakSize, start: number): SoakStep[] {
  const at = start + drawInt(random, seriesMs / 2)
  const vm = size.controls + drawInt(random, size.entries)
  const forMs = minShortageMs + drawInt(random, maxShortageMs - minShortageMs)
  const steps: SoakStep[] = [{ at, kind: 'shortage', vm, forMs }]
  if (random() < 0.5) steps.unshift({ at, kind: 'kill', vm, forMs: minFaultMs })
  if (random() < 0.5) steps.push({ at, kind: 'burst', vm, forMs })
  return steps
}
