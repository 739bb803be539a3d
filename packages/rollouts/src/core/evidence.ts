/** Counts what one entry VM observes of the two versions of a rollout. */
import type { ServerId } from '@lynxcourse/base'
import type { RolloutItem } from '@lynxcourse/state'
import type { AnswerCounts, RolloutReport } from '../types/evidence.js'

/** What one send shows about the version of its server. */
export type AnswerKind = 'good' | 'failure' | 'slow'

/** Version of a server in a rollout. */
export type RolloutSide = 'baseline' | 'target'

type MutableCounts = { -readonly [Name in keyof AnswerCounts]: AnswerCounts[Name] }

/** Counts of one VM since it learned of the rollout. */
export interface VmEvidence {
  readonly routes: Map<string, Record<RolloutSide, MutableCounts>>
  /** Answers of servers of the target version, and the bad ones among them. */
  readonly servers: Map<ServerId, { answers: number, bad: number }>
}

/** Bounds of a report's size; what comes after them is not counted. */
const maxRoutes = 64
const maxServers = 256

export function createEvidence (): VmEvidence {
  return { routes: new Map(), servers: new Map() }
}

/** Records what a send showed. */
export function recordEvidence ({ routes, servers }: VmEvidence, route: string, side: RolloutSide, server: ServerId, kind: AnswerKind): void {
  const counts = getOrAdd(routes, route, maxRoutes, () => ({ baseline: createCounts(), target: createCounts() }))?.[side]
  if (counts !== undefined) {
    counts.answers += 1
    if (kind === 'failure') counts.failures += 1
    if (kind === 'slow') counts.slow += 1
  }
  if (side === 'baseline') return
  const ofServer = getOrAdd(servers, server, maxServers, () => ({ answers: 0, bad: 0 }))
  if (ofServer === undefined) return
  ofServer.answers += 1
  if (kind !== 'good') ofServer.bad += 1
}

function createCounts (): MutableCounts {
  return { answers: 0, failures: 0, slow: 0 }
}

function getOrAdd<Key, Value> (map: Map<Key, Value>, key: Key, maxSize: number, create: () => Value): Value | undefined {
  const known = map.get(key)
  if (known !== undefined || map.size >= maxSize) return known
  const created = create()
  map.set(key, created)
  return created
}

/** Creates the report of a rollout. */
export function createRolloutReport ({ key, order, step }: RolloutItem, { routes, servers }: VmEvidence, inFlightAtBaseline: number): RolloutReport {
  return {
    service: key,
    order,
    step,
    inFlightAtBaseline,
    routes: [...routes].map(([route, { baseline, target }]) => ({ route, baseline: { ...baseline }, target: { ...target } })),
    servers: [...servers].map(([server, { answers, bad }]) => [server, answers, bad])
  }
}
