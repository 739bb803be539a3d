/** Commands for the rollouts of a fleet: `fleet rollouts list`, `start`, `show` and `abort`. */
import type { Command } from 'commander'
import { LynxError } from '@lynxcourse/base'
import { delay, getCurrentTime } from '@lynxcourse/daemon'
import type { RolloutsReadResult } from '@lynxcourse/daemon'
import { isRunningRollout } from '@lynxcourse/state'
import type { ChangeAnswer, RolloutItem } from '@lynxcourse/state'
import { exitCodes } from '../../utils/exitCodes.js'
import { printProgress, printRecord, printRows } from '../../utils/printing.js'
import type { OutputFormat, Row } from '../../utils/printing.js'
import { callAnyVm } from '../session.js'
import type { Session } from '../session.js'
import { createAction } from './action.js'

const columns = ['service', 'state', 'baseline', 'target', 'percent', 'step', 'deadline', 'reason']
const pollMs = 500
const millisPerSecond = 1000
/** `--wait` ends this long after the deadline: at the deadline, a rollout has ended unless the control VMs are disturbed. */
const waitSlackMs = 30_000

/** Creates the output row of a rollout. */
export function createRolloutRow ({ key, state, baseline, target, percent, step, orderedAt, durationMs, reason }: RolloutItem): Row {
  return { service: key, state, baseline: baseline === '' ? undefined : baseline, target, percent, step, deadline: new Date(orderedAt + durationMs).toISOString(), reason }
}

/**
 * Converts a duration in seconds to milliseconds.
 *
 * @throws LynxError `badRequest` if it is not a positive number
 */
export function parseDuration (text: string): number {
  const seconds = Number(text)
  if (text.trim() === '' || !Number.isFinite(seconds) || seconds <= 0) throw new LynxError('badRequest', `duration: '${text}' is no positive number of seconds`, { step: 'rollout', field: 'duration' })
  return seconds * millisPerSecond
}

async function listRollouts (session: Session): Promise<readonly RolloutItem[]> {
  return (await callAnyVm<RolloutsReadResult>(session, 'fleet.readRollouts')).rollouts
}

async function findRollout (session: Session, service: string): Promise<RolloutItem> {
  const found = (await listRollouts(session)).find(({ key }) => key === service)
  if (found === undefined) throw new LynxError('notFound', `rollout of service '${service}'`, { step: 'rollout', field: 'service' })
  return found
}

async function submitOrder (session: Session, command: object): Promise<void> {
  const answer = await callAnyVm<ChangeAnswer>(session, 'fleet.submit', { command })
  if (!answer.ok) throw new LynxError(answer.code, answer.detail, { step: 'rollout' })
}

/** Waits until a rollout has ended, or until long after its deadline; returns the exit code. */
async function awaitEnd (session: Session, service: string, format: OutputFormat): Promise<number> {
  const first = await findRollout(session, service)
  const giveUpAt = getCurrentTime() + first.durationMs + waitSlackMs
  let last = first
  while (isRunningRollout(last) && getCurrentTime() < giveUpAt) {
    await delay(pollMs)
    const next = await findRollout(session, service)
    if (next.step !== last.step) printProgress(`${next.state}: ${next.reason}`)
    last = next
  }
  printRecord(format, createRolloutRow(last))
  if (isRunningRollout(last)) return exitCodes.waitTimedOut
  return last.state === 'completed' ? exitCodes.ok : exitCodes.failed
}

interface FormatOptions { readonly json?: boolean }
interface StartOptions extends FormatOptions { readonly duration: string, readonly wait?: boolean }

function getFormat (session: Session, { json }: FormatOptions): OutputFormat {
  return json === true ? 'json' : session.output
}

/** Adds the commands of `lynxcourse fleet rollouts`. */
export function addRolloutCommands (fleet: Command): void {
  const rollouts = fleet.command('rollouts').description('rollouts of server versions')
  const addCommand = (usage: string, description: string, settings: { readonly isDefault: boolean } = { isDefault: false }): Command =>
    rollouts.command(usage, settings).description(description).option('--json', 'the same as --output json')
  addCommand('list', 'list the last rollout of each service', { isDefault: true }).action(createAction<FormatOptions>(async (session, _args, options) => {
    printRows(getFormat(session, options), (await listRollouts(session)).map(createRolloutRow), columns)
    return exitCodes.ok
  }))
  addCommand('show <service>', 'show the last rollout of a service').action(createAction<FormatOptions>(async (session, [service = ''], options) => {
    printRecord(getFormat(session, options), createRolloutRow(await findRollout(session, service)))
    return exitCodes.ok
  }))
  addCommand('start <service> <version>', 'move the requests of a service to the servers of a version')
    .requiredOption('--duration <seconds>', 'time until the rollout is to be finished')
    .option('--wait', 'wait until the rollout has ended')
    .action(createAction<StartOptions>(async (session, [service = '', target], options) => {
      await submitOrder(session, { type: 'startRollout', service, target, durationMs: parseDuration(options.duration) })
      if (options.wait === true) return await awaitEnd(session, service, getFormat(session, options))
      printRecord(getFormat(session, options), createRolloutRow(await findRollout(session, service)))
      return exitCodes.ok
    }))
  addCommand('abort <service>', 'roll a running rollout back').action(createAction<FormatOptions>(async (session, [service = ''], options) => {
    await submitOrder(session, { type: 'abortRollout', service })
    printRecord(getFormat(session, options), createRolloutRow(await findRollout(session, service)))
    return exitCodes.ok
  }))
}
