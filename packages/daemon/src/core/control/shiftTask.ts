/** The leader moves shifts on. */
import type { Millis, RegionId, ServiceId } from '@lynxcourse/base'
import { listServers } from '@lynxcourse/membership'
import { findServiceProfile } from '@lynxcourse/state'
import type { ShiftItem } from '@lynxcourse/state'
import { addReading, planShift, summarizeReadings } from '@lynxcourse/steering'
import type { ShiftLoads } from '@lynxcourse/steering'
import { log } from '../../utils/logging.js'
import type { LeaderDuties } from './leaderState.js'
import { proposeCommand } from './proposals.js'

/** Reports lag by up to this before a shift's step shows in them. */
const reportLagMs = 1500
const staleReportMs = 2000

/** What is known of a shift's two ends. */
export function measureShift (duties: LeaderDuties, service: ServiceId, from: RegionId, to: RegionId, now: Millis): ShiftLoads {
  let measuredAt: Millis | undefined
  let busy = 0
  let originBusy = 0
  for (const { at, report } of duties.reports.values()) {
    if (now - at > duties.node.cfg.times.lostMs) continue
    measuredAt = Math.min(measuredAt ?? at, at)
    for (const load of report.loads) {
      if (load.service !== service) continue
      if (load.region === to) busy += load.inFlight
      if (load.region === from) originBusy += load.inFlight
    }
  }
  const servers = listServers(duties.node.directory).filter(server => server.service === service && server.region === to && server.state === 'serving')
  const slots = servers.reduce((sum, server) => sum + server.slots, 0)
  return { measuredAt, busy, slots, originBusy }
}

/** The headroom by the readings of the last while; without enough of them, not measured. */
function steadyHeadroom (duties: LeaderDuties, shift: ShiftItem, now: Millis): ShiftLoads {
  const present = measureShift(duties, shift.service, shift.from, shift.to, now)
  if (present.measuredAt === undefined) return present
  const readings = addReading(duties.readings.get(shift.key) ?? [], { at: now, busy: present.busy, originBusy: present.originBusy })
  duties.readings.set(shift.key, readings)
  const steady = summarizeReadings(readings)
  return steady === undefined ? { ...present, measuredAt: undefined } : { ...present, ...steady }
}

/** Moves a shift on if its step is due. */
export async function moveShift (duties: LeaderDuties, shift: ShiftItem, now: Millis): Promise<void> {
  if (shift.state !== 'moving' && shift.state !== 'settling') {
    duties.readings.delete(shift.key)
    return
  }
  const profile = findServiceProfile(duties.host.machine.config, shift.service)
  if (profile === undefined) return
  const headroom = steadyHeadroom(duties, shift, now)
  const times = { lookupTtlMs: profile.lookupTtlS * 1000, reportLagMs, staleMs: staleReportMs }
  const step = planShift(shift, headroom, duties.rule, times, now)
  if (step.type === 'wait') return
  const percent = step.type === 'step' ? step.percent : shift.percent
  const event = step.type === 'step' ? 'stepDone' : step.type === 'finish' ? 'finish' : 'settled'
  await proposeCommand(duties.host, { type: 'advanceShift', shift: shift.key, event, fromPercent: shift.percent, percent })
  log(duties.node.logs, 'shift', 'info', 'Shift moves on.', { shift: shift.key, event, percent, busy: headroom.busy, slots: headroom.slots })
}
