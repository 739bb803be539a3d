/** A backend server of the model: slots, a queue, and the objects that it keeps warm. */
import type { Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { scheduleAfter } from '@lynxcourse/base/timeline'
import type { Timeline } from '@lynxcourse/base/timeline'

/** What a server answers. */
export type BackendEnd =
  | { readonly type: 'answered', readonly ahead: number }
  | { readonly type: 'full', readonly ahead: number }
  | { readonly type: 'lost' }

/** One request at a server. */
export interface Job {
  readonly object: string
  readonly coldMs: Millis
  readonly warmPart: number
  readonly deadline: Millis
  readonly onEnd: (end: BackendEnd) => void
  wasWarm: boolean
  isOver: boolean
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
  /** Objects in order of use, the latest last. */
  readonly warm: Set<string>
  isUp: boolean
  isLeaving: boolean
  slowness: number
  /** Part of what it gets that it turns away although it has room. */
  shedPart: number
}

export function createBackend (parts: Pick<Backend, 'id' | 'service' | 'region' | 'failureDomain' | 'slots' | 'queue' | 'warmObjects'>): Backend {
  return { ...parts, running: new Set(), waiting: [], warm: new Set(), isUp: true, isLeaving: false, slowness: 1, shedPart: 0 }
}

/** A request reaches a server. */
export function arriveAt (timeline: Timeline, backend: Backend, job: Job, isShed: boolean): void {
  if (!backend.isUp) return end(job, { type: 'lost' })
  const isFull = backend.running.size >= backend.slots && backend.waiting.length >= backend.queue
  if (isFull || isShed) return end(job, { type: 'full', ahead: aheadOf(backend) })
  if (backend.running.size < backend.slots) start(timeline, backend, job)
  else backend.waiting.push(job)
}

/** The connection of a request closes: its server stops work on it. */
export function leaveBackend (timeline: Timeline, backend: Backend, job: Job): void {
  job.isOver = true
  if (!backend.running.delete(job)) return
  startNext(timeline, backend)
}

/** A server ends: what it has is lost, and no object is warm when it comes back. */
export function crashBackend (backend: Backend): void {
  backend.isUp = false
  const jobs = [...backend.running, ...backend.waiting]
  backend.running.clear()
  backend.waiting.length = 0
  backend.warm.clear()
  for (const job of jobs) end(job, { type: 'lost' })
}

function aheadOf ({ running, waiting }: Backend): number {
  return running.size + waiting.length
}

function start (timeline: Timeline, backend: Backend, job: Job): void {
  backend.running.add(job)
  job.wasWarm = backend.warm.has(job.object)
  const workMs = job.coldMs * (job.wasWarm ? job.warmPart : 1) * backend.slowness
  scheduleAfter(timeline, workMs, () => {
    if (!backend.running.delete(job)) return
    keepWarm(backend, job.object)
    startNext(timeline, backend)
    end(job, { type: 'answered', ahead: aheadOf(backend) })
  })
}

function startNext (timeline: Timeline, backend: Backend): void {
  for (;;) {
    const next = backend.waiting.shift()
    if (next === undefined) return
    if (next.isOver) continue
    if (timeline.now >= next.deadline) {
      end(next, { type: 'full', ahead: aheadOf(backend) })
      continue
    }
    return start(timeline, backend, next)
  }
}

function keepWarm (backend: Backend, object: string): void {
  backend.warm.delete(object)
  backend.warm.add(object)
  const [oldest] = backend.warm
  if (backend.warm.size > backend.warmObjects && oldest !== undefined) backend.warm.delete(oldest)
}

function end (job: Job, result: BackendEnd): void {
  if (job.isOver) return
  job.isOver = true
  job.onEnd(result)
}
