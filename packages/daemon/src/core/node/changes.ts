/** Operators' changes: checked against the topology, then passed to the leader. */
import { LynxError } from '@lynxcourse/base'
import { findVm } from '@lynxcourse/membership'
import { changeSchema, findItem } from '@lynxcourse/state'
import type { Change, ChangeAnswer } from '@lynxcourse/state'
import { findServer } from '@lynxcourse/membership'
import { proposeCommand } from '../control/proposals.js'
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
  /** Set by the VM that passes the change on, so that it is passed on only once. */
  relayed: z.boolean().default(false)
})

/** Adds the method by which operators change the configuration, at any VM. */
export function addChangeMethod (rpc: RpcServer, node: Node, control: ControlHost | undefined): void {
  addMethod(rpc, 'change.submit', ['operator', 'vm'], submitSchema, async (params, caller): Promise<ChangeAnswer> => {
    // A certificate's name goes before the name that the operator gives.
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
  const answer = await proposeCommand(control, change)
  if (answer.type !== 'change') throw new LynxError('badRpc', 'no answer to a change', { step: 'change' })
  const outcome = answer.change.ok ? `version ${answer.change.version}` : answer.change.detail
  log(node.logs, 'agree', 'info', 'Change applied.', { type: change.type, change: change.changeId, operator: change.operator, ok: answer.change.ok, outcome })
  return answer.change
}

/** Names that a change uses must exist, so that a slip of the pen is no change without effect. */
function checkAgainstTopology (node: Node, change: Change): void {
  switch (change.type) {
    case 'publishProfile':
      change.profile.places.forEach((region, place) => checkRegion(node, region, `change.profile.places.${place}`))
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
