/**
 * Asks the control VMs whether this VM's copy of the state is current, if the watch has not shown it for some time.
 *
 * One control VM is asked first and the others soon after, so that control VMs that are blocked or lost delay the answer little.
 */
import type { Millis } from '@lynxcourse/base'
import { getErrorMessage } from '@lynxcourse/base'
import { getCopyAge, hasState, isCutOff, recordConfirmation, recordContacts } from '@lynxcourse/placement'
import type { ControlContact } from '@lynxcourse/placement'
import { readClocks } from '../../utils/clock.js'
import { log } from '../../utils/logging.js'
import { canOpenConnection } from '../../utils/portProbe.js'
import { delay, repeat } from '../node/timers.js'
import { callPeer } from '../rpc/rpcClient.js'
import { isInOwnRegion, notifyStateUse, rankControls } from './fleetNode.js'
import type { ConfirmReply } from './fleetMethods.js'
import { fetchState } from './stateWatch.js'
import type { StateWatch } from './stateWatch.js'

/** Interval of the checks whether the copy has to be confirmed. */
const checkIntervalMs: Millis = 100
/** Fraction of its maximum age at which the copy is confirmed without waiting for the watch. */
const confirmAgeFraction = 0.75
/** Time between two questions of a VM that is cut off. */
const cutOffPauseMs: Millis = 500
/** Number of control VMs that are asked by the end of each stage; all others follow in the last stage. */
const askedByStage = [1, 3]
/** Time between two stages. */
const stageMs: Millis = 100
/** Maximum number of control VMs asked: in a large fleet, all of a region may be lost, but hardly so many regions. */
const maxAsked = 12
/** Timeout of a question, and of the connection that shows whether a control VM without an answer can be reached. */
const questionTimeoutMs: Millis = 1000

/** Confirms the copy whenever the watch is late, until disposal. */
export function keepConfirming (watch: StateWatch): AsyncDisposable {
  const { node } = watch
  return repeat(checkIntervalMs, async () => {
    const isLate = hasState(node.freshness) && getCopyAge(node.freshness, readClocks()) > node.cfg.times.maxStateAgeMs * confirmAgeFraction
    if (!isLate) return
    await confirmState(watch)
    if (isCutOff(node.freshness, readClocks())) await delay(cutOffPauseMs)
  }, err => log(node.logs, 'sync', 'error', 'Confirmation of the state failed.', { error: getErrorMessage(err) }))
}

/** Asks the control VMs once, unless they are being asked already, and records the result. */
export async function confirmState (watch: StateWatch): Promise<void> {
  watch.confirmation ??= askControls(watch).finally(() => { watch.confirmation = undefined })
  await watch.confirmation
}

async function askControls (watch: StateWatch): Promise<void> {
  const { node } = watch
  const controls = mixRegions(watch).slice(0, maxAsked)
  const askedAt = readClocks()
  const contacts = await askInStages(watch, controls)
  if (!contacts.includes('confirmed')) {
    recordContacts(node.freshness, contacts, askedAt)
    log(node.logs, 'sync', 'warn', 'The state could not be confirmed.', { asked: controls.length, contacts: contacts.join(), isCutOff: isCutOff(node.freshness, readClocks()), ageMs: Math.round(getCopyAge(node.freshness, readClocks())) })
  }
  notifyStateUse(node)
}

/** Lists the control VMs in this VM's order, but with the first of its region followed by one of another region. */
function mixRegions ({ node }: StateWatch): string[] {
  const [first, ...others] = rankControls(node, () => true)
  if (first === undefined) return []
  const firstElsewhere = others.find(address => !isInOwnRegion(node, address))
  return firstElsewhere === undefined ? [first, ...others] : [first, firstElsewhere, ...others.filter(address => address !== firstElsewhere)]
}

/** Asks the control VMs in stages until one has confirmed the state; returns the contacts so far. */
async function askInStages (watch: StateWatch, controls: readonly string[]): Promise<ControlContact[]> {
  const contacts: ControlContact[] = []
  const pending: Array<Promise<void>> = []
  let resolveConfirmed: () => void = () => undefined
  const confirmed = new Promise<void>(resolve => { resolveConfirmed = resolve })
  const ask = async (control: string): Promise<void> => {
    const contact = await askControl(watch, control)
    contacts.push(contact)
    if (contact === 'confirmed') resolveConfirmed()
  }
  for (const askedCount of [...askedByStage, controls.length]) {
    for (const control of controls.slice(pending.length, askedCount)) pending.push(ask(control))
    await Promise.race([confirmed, Promise.all(pending), delay(stageMs)])
    if (contacts.includes('confirmed')) return contacts
  }
  await Promise.race([confirmed, Promise.all(pending)])
  return contacts
}

async function askControl (watch: StateWatch, control: string): Promise<ControlContact> {
  const { node } = watch
  const askedAt = readClocks()
  const probe = canOpenConnection(control, questionTimeoutMs)
  try {
    const { version, ageMs, heldMs } = await callPeer<ConfirmReply>(node.client, control, 'fleet.confirm', {}, questionTimeoutMs)
    if (ageMs === null || ageMs > node.cfg.times.staleMs) return 'behind'
    if (version > node.config.version) return await fetchState(watch, control) ? 'confirmed' : 'unanswered'
    recordConfirmation(node.freshness, { askedAt, heldMs, ageMs })
    return 'confirmed'
  } catch (err) {
    const isReachable = await probe
    log(node.logs, 'sync', 'debug', 'A control VM did not confirm the state.', { peer: control, error: getErrorMessage(err), isReachable })
    return isReachable ? 'unanswered' : 'unreachable'
  }
}
