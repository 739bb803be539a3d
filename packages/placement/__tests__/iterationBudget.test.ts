/** What a VM that is out of processor time admits: a simulation of its event loop under overload. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { beginIteration, createLoopIterations, endIteration, fitsIterationBudget, getIterationTime } from '@lynxcourse/placement'
import type { LoopIterations } from '@lynxcourse/placement'

/** Duration of the loop's operations at a VM with a quarter of a core, and the load on it. */
const admitMs = 8
const answerMs = 12
const rejectMs = 3
const serverMs = 300
const timeoutMs = 3000
const graceMs = 500
const overloadPerSecond = 150
const simulatedMs = 20_000

interface PendingRequest { readonly at: number, readonly arrivedAt: number }

/**
 * Simulates the iterations of a loop that admits requests in order of arrival and writes answers as servers return
 * them.
 */
class Loop {
  now = 0
  idleMs = 0
  readonly iterations: LoopIterations = createLoopIterations(0, 0)
  readonly lateMs: number[] = []
  refused = 0
  served = 0
  private underWay: PendingRequest[] = []

  constructor (private readonly mayAdmit: (iterations: LoopIterations, now: number) => boolean) {}

  /** Runs one poll phase and the work that follows it. */
  runIteration (arrivals: readonly number[]): void {
    beginIteration(this.iterations, this.idleMs, this.now)
    const polledAt = this.now
    const isDone = ({ at, arrivedAt }: PendingRequest): boolean => Math.min(at, arrivedAt + timeoutMs) <= polledAt
    for (const completed of this.underWay.filter(isDone)) {
      this.now += answerMs
      this.served += 1
      if (this.now - completed.arrivedAt > timeoutMs) this.lateMs.push(this.now - completed.arrivedAt)
    }
    this.underWay = this.underWay.filter(pending => !isDone(pending))
    for (const arrivedAt of arrivals) this.take(arrivedAt)
    endIteration(this.iterations, this.idleMs, this.now)
  }

  /** Idles until the next arrival, answer or timeout. */
  idleUntil (at: number): void {
    const next = Math.min(at, ...this.underWay.map(pending => Math.min(pending.at, pending.arrivedAt + timeoutMs)))
    if (next <= this.now) return
    this.idleMs += next - this.now
    this.now = next
  }

  private take (arrivedAt: number): void {
    const isTimedOut = this.now - arrivedAt > timeoutMs
    if (isTimedOut || !this.mayAdmit(this.iterations, this.now)) {
      this.now += rejectMs
      this.refused += 1
      if (this.now - arrivedAt > timeoutMs) this.lateMs.push(this.now - arrivedAt)
      return
    }
    this.now += admitMs
    this.underWay.push({ at: this.now + serverMs, arrivedAt })
  }
}

function simulate (perSecond: number, mayAdmit: (iterations: LoopIterations, now: number) => boolean): Loop {
  const loop = new Loop(mayAdmit)
  let next = 0
  const gapMs = 1000 / perSecond
  while (loop.now < simulatedMs) {
    loop.idleUntil(next)
    const arrivals: number[] = []
    for (; next <= loop.now; next += gapMs) arrivals.push(next)
    loop.runIteration(arrivals)
  }
  return loop
}

/*
 * Guards against long iterations of the event loop. After a start of all VMs, one VM got the callers of a region: 150
 * requests per second where its processor serves 40. It admitted all requests that it read, iterations grew to seconds,
 * and timers and answers waited for their end: requests with a timeout of 3 s ended after 4.15 s and 4.5 s.
 */
test('under overload no request ends 500 ms past its timeout, and the processor still serves requests', () => {
  const unbounded = simulate(overloadPerSecond, () => true)
  assert.ok(unbounded.lateMs.some(latencyMs => latencyMs > timeoutMs + graceMs), 'the simulation reproduces the fault without a budget')
  const bounded = simulate(overloadPerSecond, (iterations, now) => fitsIterationBudget(getIterationTime(iterations, now), 0))
  assert.deepEqual(bounded.lateMs.filter(latencyMs => latencyMs > timeoutMs + graceMs), [])
  assert.ok(bounded.served > simulatedMs / 1000 * 20, `served ${bounded.served}`)
})

test('a load within the capacity of the processor is admitted completely', () => {
  const loop = simulate(35, (iterations, now) => fitsIterationBudget(getIterationTime(iterations, now), 2))
  assert.equal(loop.refused, 0)
})

test('in a long iteration the least urgent requests are rejected first', () => {
  const iterations = createLoopIterations(0, 0)
  beginIteration(iterations, 100, 100)
  const admittedUntil = [0, 1, 2].map(rank => {
    let now = 100
    while (now < simulatedMs && fitsIterationBudget(getIterationTime(iterations, now), rank)) now += 1
    return now
  })
  assert.ok((admittedUntil[0] as number) > (admittedUntil[1] as number) && (admittedUntil[1] as number) > (admittedUntil[2] as number))
})
