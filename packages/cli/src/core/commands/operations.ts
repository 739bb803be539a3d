/** `lynxcourse drain` and `lynxcourse shift`. */
import { randomUUID } from 'node:crypto'
import type { Command } from 'commander'
import { LynxError } from '@lynxcourse/base'
import type { DrainItem, ShiftItem } from '@lynxcourse/state'
import { exitCodes } from '../../utils/exitCodes.js'
import { printOne, printProgress, printRows } from '../../utils/printing.js'
import type { Row } from '../../utils/printing.js'
import { pause, sendChange } from '../changes.js'
import type { ChangeOptions } from '../changes.js'
import { call, findByKey } from '../session.js'
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

/** What tells drains and shifts apart here. */
interface MoveKind<Move> {
  readonly name: string
  readonly query: string
  /** State in which it has come to its end; else it was cancelled. */
  readonly endState: string
  readonly columns: readonly string[]
  readonly rowOf: (move: Move) => Row
  readonly progressOf: (move: Move) => string
}

const drains: MoveKind<DrainRow> = {
  name: 'drain',
  query: 'query.drains',
  endState: 'drained',
  columns: ['id', 'kind', 'name', 'state', 'remaining', 'waitingFor', 'elapsedMs', 'operator'],
  rowOf: ({ key, target, state, remaining, waitingFor, elapsedMs, origin }) =>
    ({ id: key, kind: target.kind, name: target.name, state, remaining, waitingFor: waitingFor.join(',') || '-', elapsedMs, operator: origin.operator }),
  progressOf: ({ remaining, elapsedMs, waitingFor }) =>
    `${remaining} requests in flight, ${Math.round(elapsedMs / 1000)} s, waiting for ${waitingFor.join(', ') || 'nobody'}`
}

const shifts: MoveKind<ShiftRow> = {
  name: 'shift',
  query: 'query.shifts',
  endState: 'complete',
  columns: ['id', 'service', 'from', 'to', 'state', 'percent', 'target', 'cap', 'busy', 'slots'],
  rowOf: ({ key, service, from, to, state, percent, targetPercent, cap, destinationBusy, destinationSlots }) =>
    ({ id: key, service, from, to, state, percent, target: targetPercent, cap, busy: destinationBusy, slots: destinationSlots }),
  progressOf: ({ percent, targetPercent, destinationBusy, destinationSlots }) =>
    `${percent} of ${targetPercent} %, destination ${destinationBusy} of ${destinationSlots} slots`
}

/** The id of a new move, printed so that it is known even if the answer is lost. */
function newMoveId ({ name }: MoveKind<never>, given: string | undefined): string {
  const id = given ?? `${name}-${randomUUID().slice(0, 8)}`
  printProgress(`${name} id ${id}`)
  return id
}

async function listMoves<Move> (session: Session, { query, columns, rowOf }: MoveKind<Move>): Promise<number> {
  printRows(session.output, (await call<Move[]>(session, query)).map(rowOf), columns)
  return exitCodes.ok
}

async function watchMove<Move extends { readonly key: string, readonly state: string }> (session: Session, kind: MoveKind<Move>, id: string): Promise<number> {
  for (;;) {
    const move = await findByKey<Move>(session, kind.query, kind.name, id)
    printProgress(`${move.state}: ${kind.progressOf(move)}`)
    if (move.state === kind.endState || move.state === 'cancelled') {
      printOne(session.output, kind.rowOf(move))
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
      const id = newMoveId(drains, options.id)
      return await sendChange(session, { type: 'startDrain', drain: id, target: { kind: targetKind, name }, at: readTime(options.at) }, options)
    }))
  drain.command('list').description('list drains').action(action(async session => await listMoves(session, drains)))
  drain.command('watch <id>').description('follow a drain to its end').action(action(async (session, [id]) => await watchMove(session, drains, id ?? '')))
  changeOptions(drain.command('cancel <id>').description('end a drain; new work is let in again'))
    .action(action(async (session, [id], options: ChangeOptions) => await sendChange(session, { type: 'cancelDrain', drain: id }, options)))
}

interface ShiftOptions extends ChangeOptions {
  readonly percent: string
  readonly step: string
  readonly cap?: string
  readonly id?: string
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
      const id = newMoveId(shifts, options.id)
      const cap = options.cap === undefined ? {} : { cap: readNumber('cap', options.cap) }
      const sizes = { percent: readNumber('percent', options.percent), stepPercent: readNumber('step', options.step) }
      return await sendChange(session, { type: 'startShift', shift: id, service, from, to, ...sizes, ...cap }, options)
    }))
  shift.command('list').description('list shifts').action(action(async session => await listMoves(session, shifts)))
  shift.command('watch <id>').description('follow a shift to its end').action(action(async (session, [id]) => await watchMove(session, shifts, id ?? '')))
  for (const event of ['stop', 'resume', 'cancel']) {
    changeOptions(shift.command(`${event} <id>`).description(`${event} a shift`))
      .action(action(async (session, [id], options: ChangeOptions) => await sendChange(session, { type: 'steerShift', shift: id, event }, options)))
  }
}
