/** The leader's side of recognizing requests that end servers, for VMs of the service-addressed kind. */
import { brandId } from '@lynxcourse/base'
import type { RequestFingerprint } from '@lynxcourse/base'
import { cancelTrial } from '@lynxcourse/placement'
import type { Trials } from '@lynxcourse/placement'
import type { ReportServerEndsCommand } from '@lynxcourse/state'
import * as z from 'zod'
import { serverEndFields, textSchema, trialFields } from '../../types/fleetCommands.js'
import { getCurrentTime } from '../../utils/clock.js'
import { grantControlTrial } from '../control/crashTrials.js'
import { proposeChange } from '../control/proposals.js'
import type { ControlHost } from '../control/hostState.js'
import { addMethod } from '../rpc/rpcServer.js'
import type { RpcServer } from '../rpc/rpcServer.js'

/** Adds the methods `crashes.report`, `crashes.claimTrial` and `crashes.cancelTrial`. */
export function addCrashMethods (rpc: RpcServer, control: ControlHost): void {
  const trials: Trials = new Map()
  addMethod(rpc, 'crashes.report', ['vm'], z.strictObject(serverEndFields), async report => {
    const command: ReportServerEndsCommand = { type: 'reportServerEnds', ...report as unknown as Omit<ReportServerEndsCommand, 'type'> }
    await proposeChange(control, command, 'report')
    return {}
  })
  addMethod(rpc, 'crashes.claimTrial', ['vm'], z.strictObject(trialFields), ({ request, forMs }) =>
    grantControlTrial(control, trials, brandId<RequestFingerprint>(request), forMs, getCurrentTime()))
  addMethod(rpc, 'crashes.cancelTrial', ['vm'], z.strictObject({ request: textSchema }), ({ request }) => {
    cancelTrial(trials, brandId<RequestFingerprint>(request))
    return {}
  })
}
