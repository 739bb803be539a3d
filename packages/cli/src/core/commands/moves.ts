/** `lynxcourse drain` and `lynxcourse shift`. */
import { randomUUID } from 'node:crypto'
import type { Command } from 'commander'
import { LynxError } from '@lynxcourse/base'
import type { DrainItem, ShiftItem } from '@lynxcourse/state'
import { exitCodes } from '../../utils/exitCodes.js'
import { printOne, printProgress, printRows } from '../../utils/printing.js'
import { pause, sendChange } from '../changing.js'
import type { ChangeOptions } from '../changing.js'
import { call } from '../session.js'
import type { Session } from '../session.js'
import { action, changeOptions } from './action.js'

const watchMs = 500
const drainKinds: Record<string, string> = { server: 'server', vm: 'vm', domain: 'failureDomain', region: 'region' }

interface DrainRow extends DrainItem {
  readonly remaining: number
  readonly waitingFor: readonly string[]
  readonly elapsedMs: number
}

interface ShiftRow extends ShiftItem {
  readonly destinationBusy: number
  readonly destinationSlots: number
}

interface DrainOptions extends ChangeOptions {
  readonly at?: string
  readonly id?: string
}

function readTime (text: string | undefined): number {
  if (text === undefined) return 0
  const at = Date.parse(text)
  if (Number.isNaN(at)) throw new LynxError('badRequest', `--at: '${text}' is no time (ISO 8601)`, { step: 'drain', field: 'at' })
  return at
}

function readNumber (name: string, text: string): number {
  const value = Number(text)
  if (!Number.isInteger(value)) throw new LynxError('badRequest', `--${name}: '${text}' is no whole number`, { step: 'shift', field: name })
  return value
}

function drainRow (drain: DrainRow): Record<string, unknown> {
  const { key, target, state, remaining, waitingFor, elapsedMs, origin } = drain
  return { id: key, kind: target.kind, name: target.name, state, remaining, waitingFor: waitingFor.join(',') || '-', elapsedMs, operator: origin.operator }
}

const drainColumns = ['id', 'kind', 'name', 'state', 'remaining', 'waitingFor', 'elapsedMs', 'operator']

async function findDrain (session: Session, id: string): Promise<DrainRow> {
  const found = (await call<DrainRow[]>(session, 'query.drains')).find(drain => drain.key === id)
  if (found === undefined) throw new LynxError('notFound', `drain '${id}'`, { step: 'drain' })
  return found
}

async function watchDrain (session: Session, id: string): Promise<number> {
  for (;;) {
    const drain = await findDrain(session, id)
    printProgress(`${drain.state}: ${drain.remaining} requests in flight, ${Math.round(drain.elapsedMs / 1000)} s, waiting for ${drain.waitingFor.join(', ') || 'nobody'}`)
    if (drain.state === 'drained' || drain.state === 'cancelled') {
      printOne(session.output, drainRow(drain))
      return exitCodes.ok
    }
    await pause(watchMs)
  }
}

/** Adds `lynxcourse drain`. */
export function addDrainCommands (program: Command): void {
  const drain = program.command('drain').description('planned stops of servers, VMs, failure domains and regions')
  changeOptions(drain.command('start <kind> <name>').description('kind: server, vm, domain or region'))
    .option('--at <time>', 'when to begin (ISO 8601); now if left out')
    .option('--id <id>', 'id of the drain; made up if left out')
    .addHelpText('after', '\nExamples:\n  lynxcourse drain start domain kochi-a --wait\n  lynxcourse drain start server offers-7 --at 2027-01-05T20:00:00Z\n')
    .action(action(async (session, [kind, name], options: DrainOptions) => {
      const targetKind = drainKinds[kind ?? '']
      if (targetKind === undefined) throw new LynxError('badRequest', `kind: '${kind}' is none of server, vm, domain, region`, { step: 'drain', field: 'kind' })
      const id = options.id ?? `drain-${randomUUID().slice(0, 8)}`
      printProgress(`drain id ${id}`)
      return await sendChange(session, { type: 'startDrain', drain: id, target: { kind: targetKind, name }, at: readTime(options.at) }, options)
    }))
  drain.command('list').description('list drains').action(action(async session => {
    printRows(session.output, (await call<DrainRow[]>(session, 'query.drains')).map(drainRow), drainColumns)
    return exitCodes.ok
  }))
  drain.command('watch <id>').description('follow a drain to its end').action(action(async (session, [id]) => await watchDrain(session, id ?? '')))
  changeOptions(drain.command('cancel <id>').description('end a drain; new work is let in again'))
    .action(action(async (session, [id], options: ChangeOptions) => await sendChange(session, { type: 'cancelDrain', drain: id }, options)))
}

interface ShiftOptions extends ChangeOptions {
  readonly percent: string
  readonly step: string
  readonly cap?: string
  readonly id?: string
}

function shiftRow (shift: ShiftRow): Record<string, unknown> {
  const { key, service, from, to, state, percent, targetPercent, cap, destinationBusy, destinationSlots } = shift
  return { id: key, service, from, to, state, percent, target: targetPercent, cap, busy: destinationBusy, slots: destinationSlots }
}

const shiftColumns = ['id', 'service', 'from', 'to', 'state', 'percent', 'target', 'cap', 'busy', 'slots']

async function watchShift (session: Session, id: string): Promise<number> {
  for (;;) {
    const shift = (await call<ShiftRow[]>(session, 'query.shifts')).find(row => row.key === id)
    if (shift === undefined) throw new LynxError('notFound', `shift '${id}'`, { step: 'shift' })
    printProgress(`${shift.state}: ${shift.percent} of ${shift.targetPercent} %, destination ${shift.destinationBusy} of ${shift.destinationSlots} slots`)
    if (shift.state === 'complete' || shift.state === 'cancelled') {
      printOne(session.output, shiftRow(shift))
      return exitCodes.ok
    }
    await pause(watchMs)
  }
}

/** Adds `lynxcourse shift`. */
export function addShiftCommands (program: Command): void {
  const shift = program.command('shift').description('moves of traffic between regions, in steps')
  changeOptions(shift.command('start <service> <from> <to>').description('move a share of a service\'s callers'))
    .option('--percent <n>', 'share to move in the end', '100')
    .option('--step <n>', 'largest step in percent', '10')
    .option('--cap <n>', 'most moved requests in flight; the profile\'s shiftCap if left out')
    .option('--id <id>', 'id of the shift; made up if left out')
    .addHelpText('after', '\nExample:\n  lynxcourse shift start offers kochi chennai --percent 50 --step 5 --cap 20\n')
    .action(action(async (session, [service, from, to], options: ShiftOptions) => {
      const id = options.id ?? `shift-${randomUUID().slice(0, 8)}`
      printProgress(`shift id ${id}`)
      const cap = options.cap === undefined ? {} : { cap: readNumber('cap', options.cap) }
      const sizes = { percent: readNumber('percent', options.percent), stepPercent: readNumber('step', options.step) }
      return await sendChange(session, { type: 'startShift', shift: id, service, from, to, ...sizes, ...cap }, options)
    }))
  shift.command('list').description('list shifts').action(action(async session => {
    printRows(session.output, (await call<ShiftRow[]>(session, 'query.shifts')).map(shiftRow), shiftColumns)
    return exitCodes.ok
  }))
  shift.command('watch <id>').description('follow a shift to its end').action(action(async (session, [id]) => await watchShift(session, id ?? '')))
  for (const event of ['stop', 'resume', 'cancel']) {
    changeOptions(shift.command(`${event} <id>`).description(`${event} a shift`))
      .action(action(async (session, [id], options: ChangeOptions) => await sendChange(session, { type: 'steerShift', shift: id, event }, options)))
  }
}
