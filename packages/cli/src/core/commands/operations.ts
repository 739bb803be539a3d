/** Commands for operations that take time: `lynxcourse drain` and `lynxcourse shift`. */
import { randomUUID } from 'node:crypto'
import type { Command } from 'commander'
import { LynxError } from '@lynxcourse/base'
import type { DrainItem, ShiftItem } from '@lynxcourse/state'
import { exitCodes } from '../../utils/exitCodes.js'
import { printRecord, printProgress, printRows } from '../../utils/printing.js'
import type { Row } from '../../utils/printing.js'
import { sleep, sendChange } from '../changes.js'
import type { ChangeOptions } from '../changes.js'
import { callAnyVm, findByKey } from '../session.js'
import type { Session } from '../session.js'
import { createAction, addChangeOptions } from './action.js'

const watchIntervalMs = 500
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

function parseTime (text: string | undefined): number {
  if (text === undefined) return 0
  const at = Date.parse(text)
  if (Number.isNaN(at)) throw new LynxError('badRequest', `--at: '${text}' is not an ISO 8601 time`, { step: 'drain', field: 'at' })
  return at
}

function parseInteger (name: string, text: string): number {
  const value = Number(text)
  if (!Number.isInteger(value)) throw new LynxError('badRequest', `--${name}: '${text}' is not a whole number`, { step: 'shift', field: name })
  return value
}

/** The differences between drains and shifts. */
interface OperationKind<Operation> {
  readonly name: string
  readonly query: string
  /** State of a completed operation; the only other final state is `cancelled`. */
  readonly endState: string
  readonly columns: readonly string[]
  readonly createRow: (operation: Operation) => Row
  readonly formatProgress: (operation: Operation) => string
}

const drains: OperationKind<DrainRow> = {
  name: 'drain',
  query: 'query.drains',
  endState: 'drained',
  columns: ['id', 'kind', 'name', 'state', 'remaining', 'waitingFor', 'elapsedMs', 'operator'],
  createRow: ({ key, target, state, remaining, waitingFor, elapsedMs, origin }) =>
    ({ id: key, kind: target.kind, name: target.name, state, remaining, waitingFor: waitingFor.join(',') || '-', elapsedMs, operator: origin.operator }),
  formatProgress: ({ remaining, elapsedMs, waitingFor }) =>
    `${remaining} requests in flight, ${Math.round(elapsedMs / 1000)} s, waiting for ${waitingFor.join(', ') || 'no VM'}`
}

const shifts: OperationKind<ShiftRow> = {
  name: 'shift',
  query: 'query.shifts',
  endState: 'complete',
  columns: ['id', 'service', 'from', 'to', 'state', 'percent', 'target', 'cap', 'busy', 'slots'],
  createRow: ({ key, service, from, to, state, percent, targetPercent, cap, destinationBusy, destinationSlots }) =>
    ({ id: key, service, from, to, state, percent, target: targetPercent, cap, busy: destinationBusy, slots: destinationSlots }),
  formatProgress: ({ percent, targetPercent, destinationBusy, destinationSlots }) =>
    `${percent} of ${targetPercent} %, destination ${destinationBusy} of ${destinationSlots} slots`
}

/** Returns the id of a new operation, and prints it, so that it is known even if the answer is lost. */
function createOperationId ({ name }: OperationKind<never>, requestedId: string | undefined): string {
  const id = requestedId ?? `${name}-${randomUUID().slice(0, 8)}`
  printProgress(`${name} id ${id}`)
  return id
}

async function listOperations<Operation> (session: Session, { query, columns, createRow: rowOf }: OperationKind<Operation>): Promise<number> {
  printRows(session.output, (await callAnyVm<Operation[]>(session, query)).map(rowOf), columns)
  return exitCodes.ok
}

async function watchOperation<Operation extends { readonly key: string, readonly state: string }> (session: Session, kind: OperationKind<Operation>, id: string): Promise<number> {
  for (;;) {
    const operation = await findByKey<Operation>(session, kind.query, kind.name, id)
    printProgress(`${operation.state}: ${kind.formatProgress(operation)}`)
    if (operation.state === kind.endState || operation.state === 'cancelled') {
      printRecord(session.output, kind.createRow(operation))
      return exitCodes.ok
    }
    await sleep(watchIntervalMs)
  }
}

/** Adds `lynxcourse drain`. */
export function addDrainCommands (program: Command): void {
  const drain = program.command('drain').description('drain servers, VMs, failure domains and regions before they stop')
  addChangeOptions(drain.command('start <kind> <name>').description('start a drain; kind: server, vm, domain or region'))
    .option('--at <time>', 'start time in ISO 8601 (default: now)')
    .option('--id <id>', 'id of the drain (default: generated)')
    .addHelpText('after', '\nExamples:\n  lynxcourse drain start domain kochi-a --wait\n  lynxcourse drain start server offers-7 --at 2027-01-05T20:00:00Z\n')
    .action(createAction(async (session, [kind, name], options: DrainOptions) => {
      const targetKind = drainKinds[kind ?? '']
      if (targetKind === undefined) throw new LynxError('badRequest', `kind: '${kind}' is not one of server, vm, domain, region`, { step: 'drain', field: 'kind' })
      const id = createOperationId(drains, options.id)
      return await sendChange(session, { type: 'startDrain', drain: id, target: { kind: targetKind, name }, at: parseTime(options.at) }, options)
    }))
  drain.command('list').description('list drains').action(createAction(async session => await listOperations(session, drains)))
  drain.command('watch <id>').description('print the progress of a drain until it ends').action(createAction(async (session, [id]) => await watchOperation(session, drains, id ?? '')))
  addChangeOptions(drain.command('cancel <id>').description('cancel a drain; new requests are admitted again'))
    .action(createAction(async (session, [id], options: ChangeOptions) => await sendChange(session, { type: 'cancelDrain', drain: id }, options)))
}

interface ShiftOptions extends ChangeOptions {
  readonly percent: string
  readonly step: string
  readonly cap?: string
  readonly id?: string
}

/** Adds `lynxcourse shift`. */
export function addShiftCommands (program: Command): void {
  const shift = program.command('shift').description('shift traffic between regions in steps')
  addChangeOptions(shift.command('start <service> <from> <to>').description('start a shift of a share of a service\'s callers'))
    .option('--percent <n>', 'share to shift in total, in percent', '100')
    .option('--step <n>', 'maximum step, in percent', '10')
    .option('--cap <n>', 'maximum number of shifted requests in flight (default: the profile\'s shiftCap)')
    .option('--id <id>', 'id of the shift (default: generated)')
    .addHelpText('after', '\nExample:\n  lynxcourse shift start offers kochi chennai --percent 50 --step 5 --cap 20\n')
    .action(createAction(async (session, [service, from, to], options: ShiftOptions) => {
      const id = createOperationId(shifts, options.id)
      const cap = options.cap === undefined ? {} : { cap: parseInteger('cap', options.cap) }
      const sizes = { percent: parseInteger('percent', options.percent), stepPercent: parseInteger('step', options.step) }
      return await sendChange(session, { type: 'startShift', shift: id, service, from, to, ...sizes, ...cap }, options)
    }))
  shift.command('list').description('list shifts').action(createAction(async session => await listOperations(session, shifts)))
  shift.command('watch <id>').description('print the progress of a shift until it ends').action(createAction(async (session, [id]) => await watchOperation(session, shifts, id ?? '')))
  for (const event of ['stop', 'resume', 'cancel']) {
    addChangeOptions(shift.command(`${event} <id>`).description(`${event} a shift`))
      .action(createAction(async (session, [id], options: ChangeOptions) => await sendChange(session, { type: 'steerShift', shift: id, event }, options)))
  }
}
