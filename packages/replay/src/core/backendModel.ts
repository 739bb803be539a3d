/** Model of a backend server: slots, a queue, and a cache of warm objects. */
import type { Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { scheduleAfter } from '@lynxcourse/base/timeline'
import type { Timeline } from '@lynxcourse/base/timeline'

/** Result of a request at a server: `ahead` is the server's queue depth, `limit` the requests per second that it names. */
export type BackendResult =
  | { readonly type: 'answered' | 'full', readonly ahead: number, readonly limit?: number }
  | { readonly type: 'lost' }

/** One request at a server. */
export interface Job {
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
  /** Requests per second that the server takes from all VMs together; undefined if it names no limit. */
  limit: number | undefined
  /** Arrival times of the requests since the server named a limit. */
  limitedArrivals: Millis[]
}

export function createBackend (settings: Pick<Backend, 'id' | 'service' | 'region' | 'failureDomain' | 'slots' | 'queue' | 'warmObjects'>): Backend {
  return { ...settings, running: new Set(), waiting: [], warm: new Set(), isUp: true, isLeaving: false, slowdown: 1, shedPart: 0, limit: undefined, limitedArrivals: [] }
}

/** Starts, queues or rejects a request that arrives at a server. */
export function submitJob (timeline: Timeline, backend: Backend, job: Job, isShed: boolean): void {
  if (!backend.isUp) return endJob(job, { type: 'lost' })
  if (backend.limit !== undefined) backend.limitedArrivals.push(timeline.now)
  const isFull = backend.running.size >= backend.slots && backend.waiting.length >= backend.queue
  if (isFull || isShed) return endJob(job, { type: 'full', ...describeLoad(backend) })
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

function describeLoad ({ running, waiting, limit }: Backend): { readonly ahead: number, readonly limit?: number } {
  return { ahead: running.size + waiting.length, ...(limit === undefined ? {} : { limit }) }
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
