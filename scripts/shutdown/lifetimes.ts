/** Groups the signals and exits of VM processes into lifetimes. */
import type { ObservedSignal } from './types.js'

/** A VM's process from its start to its exit; all times in milliseconds. */
export interface Lifetime {
  readonly vm: string
  readonly startedAt: number
  readonly terminatedAt: number[]
  readonly reloadedAt: number[]
  /** Undefined while the process runs. */
  exitedAt: number | undefined
  /** Exit code, or the signal that ended the process. */
  code: number | string | undefined
}

/** Returns all lifetimes in the order of their starts. A signal before any start of its VM begins a lifetime. */
export function listLifetimes (signals: readonly ObservedSignal[]): Lifetime[] {
  const lifetimes: Lifetime[] = []
  const running = new Map<string, Lifetime>()
  for (const signal of [...signals].sort((a, b) => a.at - b.at)) {
    let lifetime = running.get(signal.vm)
    if (lifetime === undefined || signal.type === 'start') {
      lifetime = { vm: signal.vm, startedAt: signal.at, terminatedAt: [], reloadedAt: [], exitedAt: undefined, code: undefined }
      lifetimes.push(lifetime)
      running.set(signal.vm, lifetime)
    }
    recordSignal(lifetime, signal)
    if (signal.type === 'exit') running.delete(signal.vm)
  }
  return lifetimes
}

function recordSignal (lifetime: Lifetime, { type, at, code }: ObservedSignal): void {
  if (type === 'terminate') lifetime.terminatedAt.push(at)
  if (type === 'reload') lifetime.reloadedAt.push(at)
  if (type !== 'exit') return
  lifetime.exitedAt = at
  lifetime.code = code
}

/** Returns the time from the first stop signal to the exit; undefined if either is missing. */
export function getStopDuration ({ terminatedAt: [firstAt], exitedAt }: Lifetime): number | undefined {
  return firstAt === undefined || exitedAt === undefined ? undefined : exitedAt - firstAt
}
