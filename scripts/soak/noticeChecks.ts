/** Checks that each VM keeps to what servers say of themselves: pauses that they ask for, and that they leave. */
import { bounds } from './history.js'
import type { Arrival, InjectedFault, PauseRequest, SoakHistory } from './history.js'

/** Faults that make a VM forget what it heard, or hear nothing. */
const restartKinds = new Set(['kill', 'term', 'wipe', 'tear', 'pause'])

export function checkNotices (history: SoakHistory): string[] {
  return [...history.pauses.flatMap(pause => checkPause(history, pause)), ...checkLeaving(history)]
}

function getEntry ({ attempts }: SoakHistory, id: string): string {
  return attempts.get(id)?.entry ?? ''
}

/** A fault of the VM, or one at the server that may have lost the answer, excuses the requests after it. */
function checkPause (history: SoakHistory, { id, server, at, forMs }: PauseRequest): string[] {
  const { learningMs, maxStrays } = bounds.serverPause
  const entry = getEntry(history, id)
  const strays = history.arrivals.filter(arrival => arrival.server === server && getEntry(history, arrival.id) === entry &&
    arrival.at > at + learningMs && arrival.at < at + forMs && !hasFault(history, subject => subject === entry || subject === server, at - learningMs, arrival.at))
  return strays.length > maxStrays ? [`pause: ${server} wanted no requests from ${entry} for ${forMs} ms and got ${strays.length}; ${maxStrays} are allowed`] : []
}

function checkLeaving (history: SoakHistory): string[] {
  const leftAt = findLeavingTimes(history)
  return history.arrivals.flatMap(arrival => {
    const knownSince = leftAt.get(getKey(history, arrival))
    const sentAt = history.attempts.get(arrival.id)?.sentAt ?? -Infinity
    if (knownSince === undefined || sentAt <= knownSince + bounds.drainMs) return []
    if (hasFault(history, (subject, kind) => subject === getEntry(history, arrival.id) && restartKinds.has(kind), knownSince, arrival.at)) return []
    return [`leaving: ${arrival.server} got ${arrival.id} ${Math.round(sentAt - knownSince)} ms after ${getEntry(history, arrival.id)} had passed on that it leaves`]
  })
}

function getKey (history: SoakHistory, { id, server }: Pick<Arrival, 'id' | 'server'>): string {
  return `${server} ${getEntry(history, id)}`
}

/** Returns when each VM first passed on an answer which says that its server leaves. */
function findLeavingTimes (history: SoakHistory): Map<string, number> {
  const leftAt = new Map<string, number>()
  for (const run of history.runs) {
    const attempt = history.attempts.get(run.id)
    if (!run.saysLeaving || attempt?.end?.type !== 'answer' || attempt.end.status !== 200 || attempt.endedAt === undefined) continue
    const key = getKey(history, run)
    leftAt.set(key, Math.min(leftAt.get(key) ?? Infinity, attempt.endedAt))
  }
  return leftAt
}

function hasFault ({ disturbances }: SoakHistory, concerns: (subject: string, kind: string) => boolean, from: number, until: number): boolean {
  return disturbances.some((fault: InjectedFault) => concerns(fault.subject, fault.kind) && fault.from <= until && fault.until >= from)
}
