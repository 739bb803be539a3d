/** At the leader: submits the next steps of running rollouts. */
import { getErrorMessage } from '@lynxcourse/base'
import type { FailureDomainId, Millis } from '@lynxcourse/base'
import { describeCounts, followRollout, getEvidence, listUndrained, planRolloutStep, recordReports, takeSample } from '@lynxcourse/rollouts'
import type { RolloutView } from '@lynxcourse/rollouts'
import { getRouteServices, isRunningRollout, listItems } from '@lynxcourse/state'
import type { Config, RolloutItem } from '@lynxcourse/state'
import { log } from '../../utils/logging.js'
import { isLeading } from '../control/hostState.js'
import { submitFleetCommand } from './fleetControl.js'
import type { FleetControl } from './fleetControl.js'

/** Submits the next step of each running rollout that is due. A step that fails is planned again in the next exchange. */
export async function advanceRollouts (control: FleetControl, now: Millis): Promise<void> {
  const { host, node, rollouts: { watches, reports } } = control
  if (node.cfg.rollouts === undefined) return
  const running = listItems(host.machine.config, 'rollout').filter(isRunningRollout)
  for (const service of watches.keys()) {
    if (!running.some(({ key }) => key === service)) watches.delete(service)
  }
  if (running.length === 0) reports.clear()
  await Promise.all(running.map(async item => await advanceRollout(control, item, now)))
}

/**
 * Whether this VM leads while rollouts run. It then exchanges presence twice as often: a rollout has six steps in a few seconds,
 * and each one waits for an exchange.
 */
export function hasRunningRollouts ({ host, rollouts }: FleetControl): boolean {
  return rollouts.watches.size > 0 && isLeading(host)
}

async function advanceRollout (control: FleetControl, item: RolloutItem, now: Millis): Promise<void> {
  const { node, host, rollouts } = control
  const watch = followRollout(rollouts.watches.get(item.key), item, now)
  rollouts.watches.set(item.key, watch)
  recordReports(watch, item, [...rollouts.reports])
  const view = viewRollout(host.machine.config, item, listEntriesInContact(control, now))
  if (view.targetServers > 0) watch.targetSeenAt ??= now
  const step = planRolloutStep(item, watch, view, rollouts.judge, now)
  takeSample(watch, now)
  if (step === undefined) return
  const { all } = getEvidence(watch, now).whole
  log(node.logs, 'rollout', 'info', 'Rollout step planned.', { service: item.key, order: item.order, step: item.step, ...step, from: item.state, evidence: describeCounts('all routes', all), targetSlots: view.targetSlots, baselineSlots: view.baselineSlots, undrained: listUndrained(item, watch, view).length })
  try {
    const answer = await submitFleetCommand(control, { type: 'advanceRollout', service: item.key, order: item.order, step: item.step, ...step })
    if (answer.ok) node.metrics.rolloutSteps.inc({ event: step.event })
  } catch (err) {
    log(node.logs, 'rollout', 'warn', 'Rollout step could not be submitted.', { service: item.key, step: item.step, event: step.event, error: getErrorMessage(err) })
  }
}

/** Lists the entry VMs that were heard of recently; others can't report, and don't hold up a rollout. */
function listEntriesInContact ({ presence, node }: FleetControl, now: Millis): string[] {
  return [...presence.entries].filter(([, { lastSeenAt }]) => now - lastSeenAt < node.cfg.times.presenceStaleMs).map(([name]) => name)
}

/** Returns the servers of a rollout's service, and its longest timeout. */
export function viewRollout (config: Config, { key: service, target, baseline }: RolloutItem, entries: readonly string[]): RolloutView {
  const evacuated = new Set<FailureDomainId>(listItems(config, 'evacuation').filter(({ isActive }) => isActive).map(({ key }) => key))
  const serving = listItems(config, 'backend').filter(({ facts, state }) => facts.service === service && state === 'serving' && !evacuated.has(facts.failureDomain))
  const targets = serving.filter(({ facts }) => facts.software === target)
  const sumSlots = (items: typeof serving): number => items.reduce((sum, { facts }) => sum + facts.slots, 0)
  const timeouts = listItems(config, 'route').flatMap(({ route }) => route !== undefined && getRouteServices(route).some(entry => entry.service === service) ? [route.timeoutMs] : [])
  return {
    targetServers: targets.length,
    targetSlots: sumSlots(targets.filter(({ facts }) => facts.coldMs === 0)),
    baselineSlots: sumSlots(serving.filter(({ facts }) => facts.software === baseline)),
    entries,
    longestTimeoutMs: Math.max(0, ...timeouts)
  }
}
