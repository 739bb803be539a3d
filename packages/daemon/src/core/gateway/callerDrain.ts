/** Drains the callers of a VM that stops: their requests are answered or refused, and their connections closed. */
import type { Server } from 'node:http'
import type { Millis } from '@lynxcourse/base'
import type { StopSchedule } from '@lynxcourse/placement'
import { getCurrentTime } from '../../utils/clock.js'
import { waitForPoll } from '../../utils/pollPhase.js'
import { delay } from '../node/timers.js'
import { closeAnsweredConnections, closeIdleConnections } from './callerConnections.js'
import type { Gateway } from './gateway.js'
import { giveUpRequests, hasWholeRequests } from './openRequests.js'
import { logListenerClosed, logWaitEnd, reportIncomplete } from './stopReport.js'

const pollIntervalMs: Millis = 20
/** Limit on the time that accepting the waiting connections takes before the listener is closed. */
const maxAcceptDrainMs: Millis = 500
/** Longest time for which a VM that stops waits for its callers' closes: some keep their half of a connection open for long. */
const maxLingerWaitMs: Millis = 1000

/** Answers the callers' requests until none is open or the schedule has ended, then delivers the last answers. */
export async function drainCallers (gateway: Gateway, server: Server, stop: StopSchedule): Promise<void> {
  const { startedAt, acceptsUntil, endsAt, deliversUntil } = stop
  gateway.stop = stop
  await delay(acceptsUntil - getCurrentTime())
  await drainAcceptQueue(gateway)
  const closure = closeIdleConnections(gateway, server)
  logListenerClosed(gateway, closure, startedAt, getCurrentTime())
  while (gateway.open > 0 && getCurrentTime() < endsAt) await delay(pollIntervalMs)
  logWaitEnd(gateway, startedAt, getCurrentTime())
  // A connection may get its first request from now on, which this VM can't answer any more.
  gateway.stop = { ...stop, endsAt: getCurrentTime() }
  giveUpRequests(gateway.openRequests)
  await deliverLastAnswers(gateway, deliversUntil)
  reportIncomplete(gateway, startedAt, getCurrentTime())
}

/** Waits until the callers have received their last answers, which the end of the process may cut off. */
export async function deliverLastAnswers (gateway: Gateway, latestAt: Millis): Promise<void> {
  while (hasWholeRequests(gateway.openRequests) && getCurrentTime() < latestAt) await delay(pollIntervalMs)
  closeAnsweredConnections(gateway)
  const waitsUntil = Math.min(latestAt, getCurrentTime() + maxLingerWaitMs)
  while ((hasWholeRequests(gateway.openRequests) || gateway.lingering.size > 0) && getCurrentTime() < waitsUntil) await delay(pollIntervalMs)
}

/** Reads the requests of connections that wait to be accepted, since closing the listener resets these. */
async function drainAcceptQueue ({ loop: { polls } }: Gateway): Promise<void> {
  const latestAt = getCurrentTime() + maxAcceptDrainMs
  let countBefore: number
  do {
    countBefore = polls.acceptCount
    await waitForPoll(polls)
  } while (polls.acceptCount !== countBefore && getCurrentTime() < latestAt)
}
