/** Draws a run of the shutdown rig from its seed: the system, its callers, and the signals to its entry VMs. */
import { createRandom, hashText } from '@lynxcourse/base'
import type { Random } from '@lynxcourse/base'
import type { AnswerWeights } from './answerPlan.js'
import type { CallerHabit, ShutdownBounds } from './types.js'

/** How entry VMs are stopped and started; times in milliseconds after the start of the traffic. */
export type ShutdownStep =
  | StopStep
  | { readonly kind: 'reload', readonly at: number, readonly vm: number }
  /** Changes the routes. */
  | { readonly kind: 'change', readonly at: number }
  /** Additional callers at one VM. */
  | { readonly kind: 'burst', readonly at: number, readonly vm: number, readonly callers: number, readonly forMs: number }
  | StarveStep

/** Stops a VM and starts it again. */
export interface StopStep {
  readonly kind: 'stop'
  readonly at: number
  readonly vm: number
  /** Time from the stop signal to a reload signal, negative if that comes first; undefined for none. */
  readonly reloadAfterMs: number | undefined
  /** Time from the stop signal to a second one; undefined for none. */
  readonly repeatAfterMs: number | undefined
  /** Time from the exit to the next start. */
  readonly restartAfterMs: number
  /** Time from that start to another stop signal, after which the VM is started once more; undefined for none. */
  readonly stopAgainAfterMs: number | undefined
}

/** Pauses the process of a VM again and again. */
export interface StarveStep {
  readonly kind: 'starve'
  readonly at: number
  readonly vm: number
  readonly pauseMs: number
  readonly intervalMs: number
  readonly forMs: number
}

/** Callers that share a habit, a link and an entry VM. */
export interface CallerGroup {
  readonly vm: number
  readonly habit: CallerHabit
  readonly callers: number
  /** Whether the callers leave a VM that lookups no longer return. */
  readonly followsLookups: boolean
  /** One-way delay of the link. */
  readonly delayMs: number
  /** Bandwidth of each direction of the link. */
  readonly bytesPerSecond: number
}

/** A run of the rig. */
export interface ShutdownPlan {
  readonly seed: number
  readonly entries: number
  readonly controls: number
  readonly servers: number
  /** Heap of each entry VM. */
  readonly memoryMb: readonly number[]
  readonly groups: readonly CallerGroup[]
  /** Timeout of the route for long reads. */
  readonly longTimeoutMs: number
  /** Whether VMs pass answers to reads on in pieces. */
  readonly passesPieces: boolean
  /** How often servers answer in which way. */
  readonly weights: AnswerWeights
  /** Ordered by time. */
  readonly steps: readonly ShutdownStep[]
  readonly lengthMs: number
  readonly bounds: ShutdownBounds
  /** The daemons' own bound on a stop. */
  readonly stopMs: number
}

/** Choices that a plan does not draw. */
export interface PlanOptions {
  /** Number of entry VMs; undefined to draw it. */
  readonly entries?: number | undefined
  /** Whether VMs are paused before some stops. */
  readonly starves?: boolean | undefined
  /** Number of rounds of stops. */
  readonly rounds?: number | undefined
  /** Habits of the callers; undefined for all. */
  readonly habits?: readonly CallerHabit[] | undefined
}

const bounds: ShutdownBounds = { graceMs: 6000, lossSlackMs: 200, reloadMs: 2500 }
/** Fraction of the grace period that a daemon may take, as the platform's settings have it. */
const stopFraction = 0.86
/** All habits of callers. */
export const allHabits: readonly CallerHabit[] = ['pool', 'fresh', 'pipeline', 'busyPipeline', 'slowBody', 'slowReader', 'halfClose', 'announcedClose']
const callersPerGroup = 3
const answerWeights: readonly AnswerWeights[] = [
  { prompt: 70, late: 8, lastMoment: 2, chunked: 8, large: 4, headFirst: 4, turnedAway: 3, reset: 1 },
  { prompt: 45, late: 20, lastMoment: 6, chunked: 10, large: 6, headFirst: 10, turnedAway: 2, reset: 1 }
]
const longTimeoutsMs = [2500, 4000, 6000]
const delaysMs = [0, 8, 35]
const bandwidths = [Infinity, 2_000_000, 400_000]
const serverCount = 6
const memoryMb = 150
/** A heap in which collections are frequent. */
const scarceMemoryMb = 48
/** Traffic before the first round of stops, and length of a round: a stop takes the grace period at most, and a start follows. */
const warmUpMs = 1500
const roundMs = 9000
const defaultRounds = 2

/** Draws the run of a seed. */
export function planShutdown (seed: number, options: PlanOptions = {}): ShutdownPlan {
  // The first draws of small seeds resemble each other, so the seed is hashed.
  const random = createRandom(hashText(`plan ${seed}`))
  const drawnEntries = 2 + drawIndex(random, 2)
  const entries = options.entries ?? drawnEntries
  const rounds = options.rounds ?? defaultRounds
  const steps = Array.from({ length: rounds }, (_, round) => drawRound(random, warmUpMs + round * roundMs, entries)).flat()
  // Drawn apart, so that a seed has the same stops with and without pauses.
  const pauses = options.starves === true ? drawPauses(createRandom(hashText(`pauses ${seed}`)), steps) : []
  return {
    seed,
    entries,
    controls: chance(random, 0.5) ? 1 : 3,
    servers: serverCount,
    memoryMb: Array.from({ length: entries }, () => chance(random, 0.2) ? scarceMemoryMb : memoryMb),
    longTimeoutMs: drawPick(random, longTimeoutsMs),
    passesPieces: chance(random, 0.5),
    weights: drawPick(random, answerWeights),
    groups: Array.from({ length: entries }, (_, vm) => drawGroups(random, vm)).flat().filter(({ habit }) => options.habits?.includes(habit) ?? true),
    steps: [...steps, ...pauses].sort((a, b) => a.at - b.at),
    lengthMs: warmUpMs + rounds * roundMs,
    bounds,
    stopMs: bounds.graceMs * stopFraction
  }
}

function drawRound (random: Random, at: number, entries: number): ShutdownStep[] {
  const stops = drawStops(random, at, entries)
  const [{ at: firstAt, vm }] = stops as [StopStep, ...StopStep[]]
  const steps: ShutdownStep[] = [...stops]
  if (chance(random, 0.5)) steps.push({ kind: 'change', at: firstAt + drawBetween(random, -400, 2500) })
  if (chance(random, 0.5)) steps.push({ kind: 'burst', at: firstAt - drawBetween(random, 50, 500), vm, callers: 15, forMs: 4000 })
  if (chance(random, 0.4)) steps.push({ kind: 'reload', at: firstAt + drawBetween(random, -1000, 1500), vm: drawIndex(random, entries) })
  return steps
}

/** Draws stops of one VM, of several at once, or of several in turn. */
function drawStops (random: Random, at: number, entries: number): StopStep[] {
  const first = drawIndex(random, entries)
  const count = chance(random, 0.4) ? 1 : 2 + drawIndex(random, entries - 1)
  const intervalMs = chance(random, 0.5) ? 0 : drawBetween(random, 300, 1200)
  return Array.from({ length: count }, (_, index) => drawStop(random, at + index * intervalMs, (first + index) % entries))
}

function drawStop (random: Random, at: number, vm: number): StopStep {
  return {
    kind: 'stop',
    at,
    vm,
    reloadAfterMs: chance(random, 0.3) ? drawPick(random, [-100, 0, 0, 5, 300]) : undefined,
    repeatAfterMs: chance(random, 0.2) ? drawBetween(random, 200, 3000) : undefined,
    restartAfterMs: chance(random, 0.7) ? 0 : 1500,
    stopAgainAfterMs: chance(random, 0.2) ? drawBetween(random, 0, 1500) : undefined
  }
}

/** Draws pauses that end when a stop begins. */
function drawPauses (random: Random, steps: readonly ShutdownStep[]): StarveStep[] {
  const stops = steps.filter(step => step.kind === 'stop' && chance(random, 0.5)) as StopStep[]
  return stops.map(({ at, vm }) => ({ kind: 'starve', at: at - 1000, vm, pauseMs: drawBetween(random, 20, 60), intervalMs: drawBetween(random, 20, 60), forMs: 1000 }))
}

function drawGroups (random: Random, vm: number): CallerGroup[] {
  return allHabits.map(habit => ({ vm, habit, callers: callersPerGroup, followsLookups: chance(random, 0.5), delayMs: drawPick(random, delaysMs), bytesPerSecond: drawPick(random, bandwidths) }))
}

function chance (random: Random, probability: number): boolean {
  return random() < probability
}

function drawIndex (random: Random, count: number): number {
  return Math.floor(random() * count)
}

function drawBetween (random: Random, min: number, max: number): number {
  return Math.round(min + random() * (max - min))
}

function drawPick<Item> (random: Random, items: readonly Item[]): Item {
  return items[drawIndex(random, items.length)] as Item
}
