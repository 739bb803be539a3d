/** Counts what the sends of this VM show about the versions of a running rollout. */
import type { Millis } from '@lynxcourse/base'
import { hasOwnBadVerdict, recordEvidence, recordServiceAnswer, recordTargetSend } from '@lynxcourse/rollouts'
import type { AnswerKind } from '@lynxcourse/rollouts'
import { getWorkTimes } from '../object/workModel.js'
import { estimateRoundTrip, workKey } from '../request/fleet.js'
import type { Fleet } from '../request/fleet.js'
import type { Placement } from '../request/placeRequest.js'
import type { PlacementRequest } from '../../types/placementRequest.js'
import type { FleetServer } from '../server/fleetServer.js'
import { isServerError } from '../../types/sendOutcome.js'
import type { SendOutcome } from '../../types/sendOutcome.js'
import { recordUseChange, updateTargetUse } from './activeRollouts.js'

/** Factor of the longest expected work above which a success is slow. */
const slowFactor = 1.6

/** Records a send to a server of a target version; must be called before the send. */
export function spendExposure ({ rollouts }: Fleet, { role, facts: { service } }: FleetServer): void {
  const rollout = role === 'target' ? rollouts.byService.get(service) : undefined
  if (rollout === undefined) return
  recordTargetSend(rollout.exposure)
  if (rollout.exposure.targetSends === 1) recordUseChange(rollouts, rollout, 'started')
}

/**
 * Records what the outcome of a send shows about the version of its server.
 *
 * @param tookMs time from when the connection was open until the outcome
 */
export function recordVersionEvidence (fleet: Fleet, request: PlacementRequest, placement: Placement, outcome: SendOutcome, tookMs: Millis, now: Millis): void {
  const { rollouts } = fleet
  const rollout = rollouts.byService.get(request.service)
  if (rollout === undefined) return
  const { id, software } = placement.server.facts
  const { item, evidence, exposure } = rollout
  if (outcome.type === 'answered') recordServiceAnswer(exposure)
  const side = software === item.target ? 'target' : software === item.baseline ? 'baseline' : undefined
  const kind = classifyOutcome(fleet, request, placement, outcome, tookMs)
  if (side === undefined || kind === undefined) return
  recordEvidence(evidence, request.route.name, side, id, kind)
  if (side === 'baseline' || kind === 'good' || rollout.isBad) return
  rollout.isBad = hasOwnBadVerdict(evidence)
  updateTargetUse(rollouts, rollout, now)
}

/** Returns what an outcome shows about the server's version; undefined if it shows nothing. */
function classifyOutcome (fleet: Fleet, request: PlacementRequest, placement: Placement, outcome: SendOutcome, tookMs: Millis): AnswerKind | undefined {
  // The server was full, not reached, or asked for no requests.
  if (outcome.type === 'notRun') return undefined
  const { coldMs, warmMs, longestMs } = getWorkTimes(fleet.workModel, workKey(request), request.route.aimMs)
  // The slowdown of the server itself is left out: it would excuse the server's slow answers.
  const serverMs = tookMs - estimateRoundTrip(fleet, placement.server.facts.region)
  if (outcome.type === 'answered') {
    if (isServerError(outcome.status)) return 'failure'
    const waitMs = Math.min(placement.waitMs, longestMs)
    return !placement.isCold && serverMs > slowFactor * Math.max(coldMs, longestMs) + waitMs ? 'slow' : 'good'
  }
  switch (outcome.reason) {
    case 'failed':
    case 'spoiled': return 'failure'
    case 'slow':
    case 'deadline':
      // A time-out that leaves little time for the work says nothing: objects that move to the target version are cold there, and a good
      // version would have more time-outs than the baseline.
      return !placement.isCold && serverMs > slowFactor * (placement.wasWarm ? warmMs : coldMs) ? 'failure' : undefined
    case 'stranded':
    case 'gone': return undefined
  }
}
