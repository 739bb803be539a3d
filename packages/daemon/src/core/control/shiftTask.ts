/** The leader task that advances shifts. */
import type { Millis, RegionId, ServiceId } from '@lynxcourse/base'
import { listServers } from '@lynxcourse/membership'
import { findServiceProfile } from '@lynxcourse/state'
import type { ShiftItem } from '@lynxcourse/state'
import { addReading, planShift, summarizeReadings } from '@lynxcourse/steering'
import type { ShiftLoads } from '@lynxcourse/steering'
import { log } from '../../utils/logging.js'
import type { LeaderTasks } from './leaderState.js'
import { proposeCommand } from './proposals.js'

/** Upper bound for the time until the VMs' reports show the effect of a shift's step. */
const reportLagMs = 1500
/** Loads older than this are too old to plan a step. */
const staleLoadsMs = 2000

/**
 * Returns the present loads of a shift's origin and destination, summed over all recent reports. `measuredAt` is the
 * time of the oldest report used, or undefined if there is none.
 */
export function measureShiftLoads (tasks: LeaderTasks, service: ServiceId, from: RegionId, to: RegionId, now: Millis): ShiftLoads {
  let measuredAt: Millis | undefined
  let busy = 0
  let originBusy = 0
  for (const { at, report } of tasks.reports.values()) {
    if (now - at > tasks.node.cfg.times.lostMs) continue
    measuredAt = Math.min(measuredAt ?? at, at)
    for (const load of report.loads) {
      if (load.service !== service) continue
      if (load.region === to) busy += load.inFlight
      if (load.region === from) originBusy += load.inFlight
    }
  }
  const servers = listServers(tasks.node.directory).filter(server => server.service === service && server.region === to && server.state === 'serving')
  const slots = servers.reduce((sum, server) => sum + server.slots, 0)
  return { measuredAt, busy, slots, originBusy }
}

/**
 * Records a load reading of a shift and returns the loads over the reading window. `measuredAt` is undefined if there are
 * too few readings.
 */
function measureSmoothedLoads (tasks: LeaderTasks, shift: ShiftItem, now: Millis): ShiftLoads {
  const present = measureShiftLoads(tasks, shift.service, shift.from, shift.to, now)
  if (present.measuredAt === undefined) return present
  const readings = addReading(tasks.shiftReadings.get(shift.key) ?? [], { at: now, busy: present.busy, originBusy: present.originBusy })
  tasks.shiftReadings.set(shift.key, readings)
  const smoothed = summarizeReadings(readings)
  return smoothed === undefined ? { ...present, measuredAt: undefined } : { ...present, ...smoothed }
}

/** Advances a shift if its next step is due. */
export async function advanceShift (tasks: LeaderTasks, shift: ShiftItem, now: Millis): Promise<void> {
  if (shift.state !== 'moving' && shift.state !== 'settling') {
    tasks.shiftReadings.delete(shift.key)
    return
  }
  const profile = findServiceProfile(tasks.host.machine.config, shift.service)
  if (profile === undefined) return
  const loads = measureSmoothedLoads(tasks, shift, now)
  const times = { lookupTtlMs: profile.lookupTtlS * 1000, reportLagMs, staleMs: staleLoadsMs }
  const step = planShift(shift, loads, tasks.stepRule, times, now)
  if (step.type === 'wait') return
  const percent = step.type === 'step' ? step.percent : shift.percent
  const event = step.type === 'step' ? 'stepDone' : step.type === 'finish' ? 'finish' : 'settled'
  await proposeCommand(tasks.host, { type: 'advanceShift', shift: shift.key, event, fromPercent: shift.percent, percent })
  log(tasks.node.logs, 'shift', 'info', 'Shift advanced.', { shift: shift.key, event, percent, busy: loads.busy, slots: loads.slots })
}
