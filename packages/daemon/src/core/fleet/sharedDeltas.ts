/** The changes of the state that a control VM sends to entry VMs: those that lack the same changes get the same bytes. */
import { getDeltaSince, hideKeys } from '@lynxcourse/state'
import type { Config } from '@lynxcourse/state'
import { createSharedJson } from '../rpc/sharedResult.js'
import type { SharedJson } from '../rpc/sharedResult.js'

/** Maximum number of versions from which deltas to the present one are kept. */
const maxDeltas = 8

/** Deltas to one version of the state, by the version that they start from. */
export interface SharedDeltas {
  version: number
  readonly byStart: Map<number, SharedJson>
}

export function createSharedDeltas (): SharedDeltas {
  return { version: 0, byStart: new Map() }
}

/** Returns the delta that brings a copy at version `from` to the present one, without the keys of teams. */
export function getSharedDelta (deltas: SharedDeltas, config: Config, from: number): SharedJson {
  if (deltas.version !== config.version) {
    deltas.byStart.clear()
    deltas.version = config.version
  }
  const known = deltas.byStart.get(from)
  if (known !== undefined) return known
  const delta = createSharedJson(hideKeys(getDeltaSince(config, from)))
  const [oldest] = deltas.byStart.keys()
  if (deltas.byStart.size >= maxDeltas && oldest !== undefined) deltas.byStart.delete(oldest)
  deltas.byStart.set(from, delta)
  return delta
}
