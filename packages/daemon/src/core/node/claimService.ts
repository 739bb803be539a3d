/** The leader's side of claims: batches of claims and settles from entry VMs. */
import { LynxError, getHolderVm } from '@lynxcourse/base'
import type { HolderId, RequestId } from '@lynxcourse/base'
import type { ClaimAnswer, ClaimCommand, SettleAnswer, SettleCommand } from '@lynxcourse/state'
import * as z from 'zod'
import { proposeCommand } from '../control/proposals.js'
import type { ControlHost } from '../control/hostState.js'
import { addMethod } from '../rpc/rpcServer.js'
import type { RpcServer } from '../rpc/rpcServer.js'

/** Most commands in one batch. */
export const maxClaimBatch = 256

const idSchema = z.string().regex(/^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/) as unknown as z.ZodType<RequestId>
const holder = z.string().min(3).max(80) as unknown as z.ZodType<HolderId>
const common = { id: idSchema, holder, token: z.string().min(1).max(40) }

const batchSchema = z.strictObject({
  commands: z.array(z.discriminatedUnion('type', [
    z.strictObject({ ...common, type: z.literal('claim') }),
    z.strictObject({
      ...common,
      type: z.literal('settle'),
      outcome: z.enum(['done', 'notRun', 'unknown']),
      answer: z.strictObject({ status: z.number().int(), contentType: z.string().max(200), body: z.string().max(24_000).optional() }).optional()
    })
  ])).min(1).max(maxClaimBatch)
})

export type ClaimReply = ClaimAnswer | SettleAnswer

/** Adds the method that takes batches of claims. */
export function addClaimMethod (rpc: RpcServer, control: ControlHost): void {
  addMethod(rpc, 'claims.submit', ['vm'], batchSchema, async (params, caller) => {
    const commands = params.commands as ReadonlyArray<ClaimCommand | SettleCommand>
    for (const command of commands) {
      if (caller.role === 'vm' && caller.name !== getHolderVm(command.holder)) {
        throw new LynxError('notAllowed', `vm:${caller.name} claims as ${command.holder}`, { step: 'claim', field: 'holder' })
      }
    }
    return await Promise.all(commands.map(async command => await submitClaim(control, command)))
  })
}

async function submitClaim (control: ControlHost, command: ClaimCommand | SettleCommand): Promise<ClaimReply> {
  const answer = await proposeCommand(control, command)
  if (answer.type === 'claim') return answer.claim
  if (answer.type === 'settle') return answer.settle
  throw new LynxError('badRpc', 'no answer to a claim', { step: 'claim' })
}
