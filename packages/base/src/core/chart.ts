/**
 * State charts. A chart is a YAML file that `xstate` interprets. A transition by xstate takes about 16 µs, which is too
 * slow for the request path. Therefore each chart is compiled at start into a table (state, event) -> state, and a
 * transition is a table lookup.
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

/** The validated content of a chart file. */
export type ChartDefinition = z.infer<typeof chartSchema>

/** A chart compiled for use on the request path. */
export interface Chart {
  readonly id: string
  readonly initial: string
  readonly states: ReadonlySet<string>
  readonly finalStates: ReadonlySet<string>
  readonly transitions: ReadonlyMap<string, ReadonlyMap<string, string>>
}

/**
 * Parses and validates a chart.
 *
 * @param text the YAML document
 * @param file name of the file, for error messages
 * @throws LynxError `badChart` with the file and the path of the invalid value
 */
export function parseChart (text: string, file: string): ChartDefinition {
  let document: unknown
  try {
    document = parse(text, { logLevel: 'error' })
  } catch (err) {
    throw new LynxError('badChart', `${file}: ${getErrorMessage(err)}`, { step: 'parse', cause: err })
  }
  const result = chartSchema.safeParse(document)
  if (!result.success) {
    const issue = result.error.issues[0]
    throw new LynxError('badChart', `${file}: ${issue?.path.join('.')}: ${issue?.message}`, { step: 'check' })
  }
  checkTargets(result.data, file)
  return result.data
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

/** Compiles a chart: runs each (state, event) pair through `xstate` and stores the next states in a table. */
export function compileChart (definition: ChartDefinition): Chart {
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
    finalStates: new Set(finals),
    transitions: table
  }
}

/**
 * Returns the state after an event.
 *
 * @throws LynxError `badChart` if the chart has no such transition: the code contradicts the chart, which is a bug that
 * must not go unnoticed
 */
export function nextState (chart: Chart, state: string, event: string): string {
  const next = chart.transitions.get(state)?.get(event)
  if (next === undefined) {
    throw new LynxError('badChart', `${chart.id}: no transition for event '${event}' in state '${state}'`, { step: 'transition' })
  }
  return next
}

/** Whether the chart has a transition for this event in this state. */
export function hasTransition (chart: Chart, state: string, event: string): boolean {
  return chart.transitions.get(state)?.has(event) ?? false
}

/** Whether the chart defines this state as final. */
export function isFinal (chart: Chart, state: string): boolean {
  return chart.finalStates.has(state)
}
