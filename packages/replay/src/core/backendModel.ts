/** Model of a backend server: slots, a queue, and a cache of warm objects. */
import type { Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { scheduleAfter } from '@lynxcourse/base/timeline'
import type { Timeline } from '@lynxcourse/base/timeline'
import { countPausedRequest, createPauseUse, recordTurnedAway } from './pauseUse.js'
import type { PauseUse } from './pauseUse.js'

/** An answer's head: the server's queue depth, and what the server says about itself. */
interface AnswerHead {
  readonly ahead: number
  /** Requests per second that it names. */
  readonly limit?: number
  readonly isLeaving?: boolean
}

/** Result of a request at a server; one that is full may ask the VM for no requests for a time. */
export type BackendResult =
  | { readonly type: 'answered' } & AnswerHead
  | { readonly type: 'full', readonly pauseMs?: Millis } & AnswerHead
  | { readonly type: 'lost' }

/** One request at a server. */
export interface Job {
  /** Name of the entry VM that sent it. */
  readonly vm: string
  readonly object: string
  readonly coldMs: Millis
  readonly warmPart: number
  readonly deadline: Millis
  readonly onResult: (result: BackendResult) => void
  wasWarm: boolean
  isFinished: boolean
}

export interface Backend {
  readonly id: ServerId
  readonly service: ServiceId
  readonly region: RegionId
  readonly failureDomain: string
  readonly slots: number
  readonly queue: number
  readonly warmObjects: number
  readonly running: Set<Job>
  readonly waiting: Job[]
  /** Warm objects, least recently used first. */
  readonly warm: Set<string>
  isUp: boolean
  isLeaving: boolean
  slowdown: number
  /** Fraction of requests that the server sheds although it has capacity. */
  shedPart: number
  /** Fraction of requests that the server turns away with a request for a pause of `pauseMs`. */
  pausePart: number
  pauseMs: Millis
  readonly pauseUse: PauseUse
  /** Requests per second that the server takes from all VMs together; undefined if it names no limit. */
  limit: number | undefined
  /** Arrival times of the requests since the server named a limit. */
  limitedArrivals: Millis[]
}

export function createBackend (settings: Pick<Backend, 'id' | 'service' | 'region' | 'failureDomain' | 'slots' | 'queue' | 'warmObjects'>): Backend {
  return { ...settings, running: new Set(), waiting: [], warm: new Set(), isUp: true, isLeaving: false, slowdown: 1, shedPart: 0, pausePart: 0, pauseMs: 0, pauseUse: createPauseUse(), limit: undefined, limitedArrivals: [] }
}

/** How a server rejects a request although it has capacity: as if it were full, or with a request for a pause. */
export type Rejection = 'shed' | 'pause'

/** Starts, queues or rejects a request that arrives at a server. */
export function submitJob (timeline: Timeline, backend: Backend, job: Job, rejection: Rejection | undefined): void {
  if (!backend.isUp) return endJob(job, { type: 'lost' })
  if (backend.limit !== undefined) backend.limitedArrivals.push(timeline.now)
  countPausedRequest(backend.pauseUse, job.vm, timeline.now)
  if (rejection === 'pause') {
    recordTurnedAway(backend.pauseUse, job.vm, backend.pauseMs, timeline.now)
    return endJob(job, { type: 'full', pauseMs: backend.pauseMs, ...describeLoad(backend) })
  }
  const isFull = backend.running.size >= backend.slots && backend.waiting.length >= backend.queue
  if (isFull || rejection === 'shed') return endJob(job, { type: 'full', ...describeLoad(backend) })
  if (backend.running.size < backend.slots) startJob(timeline, backend, job)
  else backend.waiting.push(job)
}

/** Cancels a request whose connection was closed: the server stops working on it. */
export function cancelJob (timeline: Timeline, backend: Backend, job: Job): void {
  job.isFinished = true
  if (!backend.running.delete(job)) return
  startNextJob(timeline, backend)
}

/** Crashes a server: its requests are lost, and all objects are cold when it returns. */
export function crashBackend (backend: Backend): void {
  backend.isUp = false
  const jobs = [...backend.running, ...backend.waiting]
  backend.running.clear()
  backend.waiting.length = 0
  backend.warm.clear()
  for (const job of jobs) endJob(job, { type: 'lost' })
}

function describeLoad ({ running, waiting, limit, isLeaving }: Backend): AnswerHead {
  return { ahead: running.size + waiting.length, ...(isLeaving ? { isLeaving } : {}), ...(limit === undefined ? {} : { limit }) }
}

function startJob (timeline: Timeline, backend: Backend, job: Job): void {
  backend.running.add(job)
  job.wasWarm = backend.warm.has(job.object)
  const workMs = job.coldMs * (job.wasWarm ? job.warmPart : 1) * backend.slowdown
  scheduleAfter(timeline, workMs, () => {
    if (!backend.running.delete(job)) return
    markWarm(backend, job.object)
    startNextJob(timeline, backend)
    endJob(job, { type: 'answered', ...describeLoad(backend) })
  })
}

function startNextJob (timeline: Timeline, backend: Backend): void {
  for (;;) {
    const next = backend.waiting.shift()
    if (next === undefined) return
    if (next.isFinished) continue
    if (timeline.now >= next.deadline) {
      endJob(next, { type: 'full', ...describeLoad(backend) })
      continue
    }
    return startJob(timeline, backend, next)
  }
}

function markWarm (backend: Backend, object: string): void {
  backend.warm.delete(object)
  backend.warm.add(object)
  const [oldest] = backend.warm
  if (backend.warm.size > backend.warmObjects && oldest !== undefined) backend.warm.delete(oldest)
}

function endJob (job: Job, result: BackendResult): void {
  if (job.isFinished) return
  job.isFinished = true
  job.onResult(result)
}
