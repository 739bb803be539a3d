/** Checks operators' changes against the topology and passes them to the leader. */
import { LynxError } from '@lynxcourse/base'
import { findVm } from '@lynxcourse/membership'
import { changeSchema, findItem } from '@lynxcourse/state'
import type { Change, ChangeAnswer } from '@lynxcourse/state'
import { findServer } from '@lynxcourse/membership'
import { proposeChange } from '../control/proposals.js'
import { isLeading } from '../control/hostState.js'
import type { ControlHost } from '../control/hostState.js'
import { log } from '../../utils/logging.js'
import { callPeer } from '../rpc/rpcClient.js'
import { addMethod } from '../rpc/rpcServer.js'
import type { RpcServer } from '../rpc/rpcServer.js'
import { getLeaderAddress } from './node.js'
import type { Node } from './node.js'
import * as z from 'zod'

const submitSchema = z.strictObject({
  change: changeSchema,
  /** Set by a VM that relays the change, so that the change is relayed only once. */
  relayed: z.boolean().default(false)
})

/** Adds the method `change.submit`, by which operators change the configuration at any VM. */
export function addChangeMethod (rpc: RpcServer, node: Node, control: ControlHost | undefined): void {
  addMethod(rpc, 'change.submit', ['operator', 'vm'], submitSchema, async (params, caller): Promise<ChangeAnswer> => {
    // The name in the operator's certificate overrides the name in the request.
    const operator = caller.role === 'operator' ? caller.name : params.change.operator
    const change: Change = { ...params.change, operator }
    checkAgainstTopology(node, change)
    if (control !== undefined && isLeading(control)) return await submitChange(node, control, change)
    if (params.relayed || getLeaderAddress(node) === '' || node.leader === node.cfg.vm) {
      throw new LynxError('notLeader', 'no leader is known', { step: 'change' })
    }
    return await callPeer<ChangeAnswer>(node.client, getLeaderAddress(node), 'change.submit', { change, relayed: true }, node.cfg.times.rpcTimeoutMs * 2)
  })
}

async function submitChange (node: Node, control: ControlHost, change: Change): Promise<ChangeAnswer> {
  const answer = await proposeChange(control, change, 'change')
  const outcome = answer.ok ? `version ${answer.version}` : answer.detail
  log(node.logs, 'agree', 'info', 'Change applied.', { type: change.type, change: change.changeId, operator: change.operator, ok: answer.ok, outcome })
  return answer
}

/** Rejects a change that names an unknown region or drain target; a misspelled name would otherwise have no effect. */
function checkAgainstTopology (node: Node, change: Change): void {
  switch (change.type) {
    case 'publishProfile':
      change.profile.places.forEach((region, index) => checkRegion(node, region, `change.profile.places.${index}`))
      for (const link of Object.keys(change.profile.linkCaps)) {
        checkRegion(node, link.slice(0, link.indexOf('>')), `change.profile.linkCaps.${link}`)
      }
      break
    case 'startShift':
      checkRegion(node, change.from, 'change.from')
      checkRegion(node, change.to, 'change.to')
      break
    case 'startDrain':
      checkDrainTarget(node, change)
      break
    default: break
  }
}

function checkRegion (node: Node, region: string, field: string): void {
  if (Object.hasOwn(node.cfg.topology.regions, region)) return
  throw new LynxError('badRequest', `${field}: no region '${region}'`, { step: 'change', field })
}

function checkDrainTarget (node: Node, change: Extract<Change, { type: 'startDrain' }>): void {
  const { kind, name } = change.target
  const isKnown = findItem(node.config, 'drain', change.drain) !== undefined || isTargetKnown(node, kind, name)
  if (!isKnown) throw new LynxError('badRequest', `change.target.name: no ${kind} '${name}'`, { step: 'change', field: 'change.target.name' })
}

function isTargetKnown (node: Node, kind: string, name: string): boolean {
  switch (kind) {
    case 'region': return Object.hasOwn(node.cfg.topology.regions, name)
    case 'failureDomain': return Object.values(node.cfg.topology.regions).some(domains => (domains as readonly string[]).includes(name))
    case 'vm': return findVm(node.directory, name as never) !== undefined
    default: return findServer(node.directory, name) !== undefined
  }
}
