/**
 * State charts. A chart is a YAML file that `xstate` interprets. One transition by xstate costs
 * about 16 µs, too much on the request path, so a chart is walked once at start and becomes a table
 * (state, event) -> state that a look-up answers.
 */
import { createMachine, getInitialSnapshot, transition } from 'xstate'
import { parse } from 'yaml'
import * as z from 'zod'
import { LynxError, getErrorMessage } from '../utils/errors.js'

const chartSchema = z.strictObject({
  id: z.string().min(1),
  about: z.string().min(1),
  initial: z.string().min(1),
  states: z.record(z.string(), z.strictObject({
    about: z.string().optional(),
    final: z.boolean().optional(),
    on: z.record(z.string(), z.string()).optional()
  }))
})

/** A chart as its file spells it. */
export type ChartDefinition = z.infer<typeof chartSchema>

/** A chart expanded for use on the request path. */
export interface Chart {
  readonly id: string
  readonly initial: string
  readonly states: ReadonlySet<string>
  readonly finals: ReadonlySet<string>
  readonly table: ReadonlyMap<string, ReadonlyMap<string, string>>
}

/**
 * Reads and checks a chart.
 *
 * @param text the YAML
 * @param file its name, for the error
 * @throws LynxError `badChart` naming the file and the place
 */
export function parseChart (text: string, file: string): ChartDefinition {
  let raw: unknown
  try {
    raw = parse(text, { logLevel: 'error' })
  } catch (err) {
    throw new LynxError('badChart', `${file}: ${getErrorMessage(err)}`, { step: 'parse', cause: err })
  }
  const checked = chartSchema.safeParse(raw)
  if (!checked.success) {
    const issue = checked.error.issues[0]
    throw new LynxError('badChart', `${file}: ${issue?.path.join('.')}: ${issue?.message}`, { step: 'check' })
  }
  checkTargets(checked.data, file)
  return checked.data
}

function checkTargets (definition: ChartDefinition, file: string): void {
  const states = definition.states
  if (states[definition.initial] === undefined) {
    throw new LynxError('badChart', `${file}: initial: no state '${definition.initial}'`, { step: 'check' })
  }
  for (const [state, node] of Object.entries(states)) {
    for (const [event, target] of Object.entries(node.on ?? {})) {
      if (states[target] === undefined) {
        throw new LynxError('badChart', `${file}: states.${state}.on.${event}: no state '${target}'`, { step: 'check' })
      }
    }
  }
}

/** Walks every (state, event) of a chart with `xstate` and keeps the outcomes as a table. */
export function expandChart (definition: ChartDefinition): Chart {
  const states: Record<string, { type?: 'final', on?: Record<string, string> }> = {}
  for (const [name, node] of Object.entries(definition.states)) {
    states[name] = node.final === true ? { type: 'final' } : { on: node.on ?? {} }
  }
  const machine = createMachine({ id: definition.id, initial: definition.initial, states })
  const table = new Map<string, Map<string, string>>()
  for (const [name, node] of Object.entries(definition.states)) {
    const row = new Map<string, string>()
    for (const event of Object.keys(node.on ?? {})) {
      const from = machine.resolveState({ value: name, context: {} })
      const [next] = transition(machine, from, { type: event })
      row.set(event, String(next.value))
    }
    table.set(name, row)
  }
  const finals = Object.entries(definition.states).filter(([, node]) => node.final === true).map(([name]) => name)
  return {
    id: definition.id,
    initial: String(getInitialSnapshot(machine).value),
    states: new Set(Object.keys(definition.states)),
    finals: new Set(finals),
    table
  }
}

/**
 * The state after an event.
 *
 * @throws LynxError `badChart` when the chart has no such transition: the code and the chart
 * disagree, which is a fault in this program and must not pass in silence
 */
export function nextState (chart: Chart, state: string, event: string): string {
  const next = chart.table.get(state)?.get(event)
  if (next === undefined) {
    throw new LynxError('badChart', `${chart.id}: no event '${event}' in state '${state}'`, { step: 'transition' })
  }
  return next
}

/** Whether the chart has a transition for this event in this state. */
export function hasTransition (chart: Chart, state: string, event: string): boolean {
  return chart.table.get(state)?.has(event) ?? false
}

/** Whether nothing can follow this state. */
export function isFinal (chart: Chart, state: string): boolean {
  return chart.finals.has(state)
}
