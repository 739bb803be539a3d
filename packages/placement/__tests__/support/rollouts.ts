/** Builds entry VMs whose servers have software versions, and rollouts of the service `desk`. */
import { createLoadObservations, applyVersions, beginSend, createCallerLiveness, decideNextStep, endSend, groupServersByService, recordPoll, startRequest } from '@lynxcourse/placement'
import type { DecisionConditions, EntryState, FleetServer, RequestState, RequestStep, SendOutcome } from '@lynxcourse/placement'
import type { RolloutBounds } from '@lynxcourse/rollouts'
import type { RolloutItem, ServiceVersionItem, SoftwareVersion } from '@lynxcourse/state'
import { createTestFleet, desk, kochi, request, server } from './fleet.js'

export const [v1, v2, v3] = ['v1', 'v2', 'v3'] as SoftwareVersion[] as [SoftwareVersion, SoftwareVersion, SoftwareVersion]
export const bounds: RolloutBounds = { exposureFraction: 0.1, exposureSlack: 50, rollbackMs: 5000 }
export const inForce: ServiceVersionItem = { kind: 'serviceVersion', key: desk, version: v1 }
export const answered: SendOutcome = { type: 'answered', status: 200, connectMs: 0 }
export const failed: SendOutcome = { type: 'answered', status: 500, connectMs: 0 }
const conditions: DecisionConditions = { retryBudget: { ratio: 0.2, windowMs: 10_000, slack: 1000 }, isStopping: false }

export function createRollout (parts: Partial<RolloutItem> = {}): RolloutItem {
  return { kind: 'rollout', key: desk, baseline: v1, target: v2, orderedAt: 0, durationMs: 12_000, state: 'observing', percent: 8, order: 5, step: 1, reason: '', ...parts }
}

export function versioned (id: string, software: SoftwareVersion): FleetServer {
  return server(id, kochi, { software, slots: 100 })
}

export function createEntry (...servers: FleetServer[]): EntryState {
  return { fleet: createTestFleet(...servers), load: createLoadObservations(0), retries: new Map(), waitingForCapacity: new Map() }
}

/** Applies the version in force and a rollout, as the gateway does when the state changes. */
export function applyRollout (entry: EntryState, rollout: RolloutItem | undefined, now: number, settings: { readonly bounds: RolloutBounds | undefined } = { bounds }): void {
  groupServersByService(entry.fleet)
  applyVersions(entry.fleet, { versions: [inForce], rollouts: rollout === undefined ? [] : [rollout] }, settings.bounds, now)
}

export function begin (entry: EntryState, now: number, object: string): RequestState {
  return startRequest(entry, request({ arrivedAt: now, deadline: now + 1200, object }), createCallerLiveness(), conditions, now)
}

export function decide (entry: EntryState, state: RequestState, now: number): RequestStep {
  recordPoll(state.caller, now)
  return decideNextStep(entry, state, conditions, now)
}

/** Sends a request once; returns the server's id, or the reason of the refusal. */
export function sendOnce (entry: EntryState, state: RequestState, outcome: (id: string) => SendOutcome, now: number, tookMs = 0): string {
  const step = decide(entry, state, now)
  if (step.type === 'refuse') return step.refused.reason
  if (step.type !== 'send') return step.type
  const { id } = step.placement.server.facts
  endSend(entry, state, beginSend(entry, state, step.placement, now), outcome(id), now + tookMs)
  return id
}

/** Sends a new request for an object once. */
export function sendObject (entry: EntryState, object: string, now: number, outcome: (id: string) => SendOutcome = () => answered, tookMs = 0): string {
  return sendOnce(entry, begin(entry, now, object), outcome, now, tookMs)
}
