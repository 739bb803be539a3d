/** Callers outside the VMs: each sends requests by its habit and records what it sees. */
import { createRandom } from '@lynxcourse/base'
import type { Random } from '@lynxcourse/base'
import type { CallerConnection, CallerTarget } from './callerConnection.js'
import { habits } from './callerHabits.js'
import type { Habit } from './callerHabits.js'
import { openConnection } from './connecting.js'
import type { RequestContent } from './requestParts.js'
import type { CallerHabit, ObservedRequest, ShutdownHistory } from './types.js'

export type { CallerTarget } from './callerConnection.js'

/** Settings of a caller. */
export interface CallerOptions {
  /** Prefix of the ids of its requests. */
  readonly name: string
  readonly habit: CallerHabit
  readonly seed: number
  /** Mean rate; a busy pipeline keeps its own. */
  readonly requestsPerSecond: number
  /** Time limits that the caller names, in milliseconds; one is drawn for each request. */
  readonly limitsMs: readonly number[]
  /** Timeouts of the routes of idempotent and of other requests; undefined if they are unknown. */
  readonly timeoutsMs?: { readonly idempotent: number, readonly other: number }
  /** Share of the requests that the caller abandons when their time limit has passed; it waits for the others. */
  readonly abandonShare: number
  /** Share of the requests that are idempotent. */
  readonly idempotentShare: number
  readonly idempotentPath: string
  readonly otherPath: string
  /** Further headers of all requests by lower-case name; `host` replaces the default one. */
  readonly headers?: Readonly<Record<string, string>>
  readonly history: ShutdownHistory
  /** Returns the VM to which the next new connection goes; undefined if none is known. */
  readonly getTarget: () => CallerTarget | undefined
  /** Whether lookups still name a VM; connections to others get no further requests. Undefined if the caller keeps them. */
  readonly isNamed?: (target: CallerTarget) => boolean
}

/** A running caller. Disposing it closes its connections at once. */
export interface Caller extends AsyncDisposable {
  readonly options: CallerOptions
  /** Number of connections that could not be opened. */
  readonly connectFailures: number
  /**
   * Sends no further requests and waits for those in progress; then closes the connections. Requests without an answer
   * by then keep no end.
   */
  stop (waitMs: number): Promise<void>
}

const pollMs = 10

/** Starts a caller. */
export function startCaller (options: CallerOptions): Caller {
  return new RunningCaller(options)
}

class RunningCaller implements Caller {
  private readonly random: Random
  private readonly habit: Habit
  private readonly connections = new Set<CallerConnection>()
  private readonly stopController = new AbortController()
  private readonly loop: Promise<void>
  private opened = 0
  private opening = 0
  private sent = 0
  private sending = 0
  connectFailures = 0

  constructor (readonly options: CallerOptions) {
    this.random = createRandom(options.seed)
    this.habit = habits[options.habit]
    this.loop = this.run()
  }

  async stop (waitMs: number): Promise<void> {
    this.stopController.abort()
    await this.loop
    for (const connection of this.connections) connection.retire()
    const deadline = performance.now() + waitMs
    while (this.isBusy() && performance.now() < deadline) await sleep(pollMs)
    await this[Symbol.asyncDispose]()
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.stopController.abort()
    for (const connection of this.connections) connection.destroy()
    await this.loop
    await Promise.all([...this.connections].map(async connection => await connection.closed))
  }

  private isBusy (): boolean {
    return this.opening > 0 || this.sending > 0 || [...this.connections].some(connection => connection.outstandingCount > 0)
  }

  private async run (): Promise<void> {
    while (!this.stopController.signal.aborted) {
      this.dropUnnamed()
      this.takeTurn()
      await sleep(this.habit.computePause(this.options.requestsPerSecond, this.random), this.stopController.signal)
    }
  }

  private dropUnnamed (): void {
    for (const connection of this.connections) {
      if (!this.isNamed(connection.target)) connection.retire()
    }
  }

  private isNamed (target: CallerTarget): boolean {
    return this.options.isNamed?.(target) ?? true
  }

  /** Sends the next requests on an open connection, or on a new one as soon as it is open. */
  private takeTurn (): void {
    const connection = this.habit.chooseConnection([...this.connections])
    if (connection !== undefined) {
      this.sendRequests(connection)
      return
    }
    // A pipeline waits for its new connection instead of opening several.
    if (this.opening > 0 && this.habit.isSingle) return
    const target = this.options.getTarget()
    if (target !== undefined) this.openAndSend(target)
  }

  private async openAndSend (target: CallerTarget): Promise<void> {
    this.opening += 1
    this.opened += 1
    const name = `${this.options.name}/${this.opened}`
    const connection = await openConnection(name, target, this.options.history, this.habit.readsSlowly).catch(() => undefined)
    this.opening -= 1
    if (connection === undefined) {
      this.connectFailures += 1
      return
    }
    this.track(connection)
    if (this.stopController.signal.aborted || !this.isNamed(target)) connection.retire()
    else this.sendRequests(connection)
  }

  private track (connection: CallerConnection): void {
    this.connections.add(connection)
    connection.closed.then(() => this.connections.delete(connection), () => undefined)
  }

  private sendRequests (connection: CallerConnection): void {
    const count = this.habit.countRequests(connection, this.random)
    for (let sent = 0; sent < count && connection.isUsable; sent++) this.sendRequest(connection)
    if (this.habit.usesOnce) connection.retire()
  }

  private sendRequest (connection: CallerConnection): void {
    const { random, habit, options } = this
    const request = this.createRequest(connection)
    const parts = habit.createParts(this.createContent(request), random)
    const abandonMs = random() < options.abandonShare ? request.limitMs : undefined
    this.sending += 1
    connection.send(request, parts, abandonMs, habit.halfCloses).finally(() => { this.sending -= 1 })
  }

  private createContent ({ id, isIdempotent, limitMs }: ObservedRequest): RequestContent {
    const { options, habit } = this
    return {
      id,
      method: isIdempotent && !habit.hasBody ? 'GET' : 'POST',
      path: isIdempotent ? options.idempotentPath : options.otherPath,
      limitMs,
      headers: options.headers ?? {},
      closes: habit.announcesClose
    }
  }

  private createRequest (connection: CallerConnection): ObservedRequest {
    const { options, random } = this
    this.sent += 1
    const isIdempotent = random() < options.idempotentShare
    const limitMs = options.limitsMs[Math.floor(random() * options.limitsMs.length)] ?? 1000
    return {
      id: `${options.name}-${this.sent}`,
      vm: connection.target.vm,
      habit: options.habit,
      isIdempotent,
      limitMs,
      timeoutMs: isIdempotent ? options.timeoutsMs?.idempotent : options.timeoutsMs?.other,
      startedAt: performance.now(),
      connection: connection.name,
      sentAt: undefined,
      endedAt: undefined,
      end: undefined
    }
  }
}

/** Resolves after the given time, or when the signal is aborted. */
async function sleep (ms: number, signal?: AbortSignal): Promise<void> {
  await new Promise<void>(resolve => {
    const timer = setTimeout(done, ms)
    signal?.addEventListener('abort', done, { once: true })
    function done (): void {
      clearTimeout(timer)
      signal?.removeEventListener('abort', done)
      resolve()
    }
    if (signal?.aborted === true) done()
  })
}
