/** Identifies the team of a caller by the key in its request, and rejects requests without a known key. */
import { getCopyAge } from '@lynxcourse/placement'
import type { ClockReading } from '@lynxcourse/placement'
import { applyTeam, identifyCaller, isKeyOfTeam } from '@lynxcourse/routing'
import { computeKeyDigest } from '@lynxcourse/state'
import type { Route } from '@lynxcourse/state'
import { log } from '../../utils/logging.js'
import { createRefusal, createTextAnswer, unconfirmedStateRetryMs } from './answers.js'
import type { CallAnswer, CallerTeam } from './call.js'
import type { Gateway } from './gateway.js'
import type { OpenRequest } from './openRequests.js'
import type { RunLedger } from './runLedger.js'

/** Why a caller is not served. */
type RejectReason = 'unknownKey' | 'unconfirmedState' | 'noCommonRegion'

/** A caller that may be served, with the route as it applies to its team, or the answer that rejects it. */
export type AuthenticatedCaller =
  | { readonly caller: CallerTeam | undefined, readonly route: Route }
  | { readonly rejection: CallAnswer }

/** Authenticates the caller of a request. */
export function authenticateCaller (gateway: Gateway, open: OpenRequest, route: Route, now: ClockReading): AuthenticatedCaller {
  const { teams, callers } = gateway
  if (!teams.isRequired) return { caller: undefined, route }
  const key = callers.parseKey(open.req.headersDistinct)
  const identity = identifyCaller(teams, route, key === undefined ? undefined : computeKeyDigest(key))
  switch (identity.type) {
    case 'anyone': return { caller: undefined, route }
    case 'unknown': return { rejection: rejectUnknownKey(gateway, open, route, key !== undefined, now) }
    case 'team': {
      const teamRoute = applyTeam(teams, route, identity.team)
      if (teamRoute === undefined) return { rejection: reject(gateway, open, route, 'noCommonRegion') }
      return { caller: { name: identity.team.name, digest: identity.digest }, route: teamRoute }
    }
  }
}

/** Whether a request may still be sent for its caller: the key was not taken away since the request arrived. */
export function isStillAuthorized ({ teams }: Gateway, caller: CallerTeam | undefined): boolean {
  return caller === undefined || !teams.isRequired || isKeyOfTeam(teams, caller.digest, caller.name)
}

function rejectUnknownKey (gateway: Gateway, open: OpenRequest, route: Route, hasKey: boolean, now: ClockReading): CallAnswer {
  const { freshness, cfg } = gateway.node
  // A VM that is cut off may have missed that a key was added.
  const isConfirmed = getCopyAge(freshness, now) <= cfg.times.maxStateAgeMs
  return reject(gateway, open, route, hasKey && !isConfirmed ? 'unconfirmedState' : 'unknownKey')
}

function reject (gateway: Gateway, { req, ledger }: OpenRequest, route: Route, reason: RejectReason): CallAnswer {
  req.resume()
  const { node } = gateway
  node.metrics.refusals.inc({ reason })
  log(node.logs, 'access', 'info', 'Caller rejected.', { id: gateway.callers.parseCallFacts(req.headers).id, route: route.name, reason, stateVersion: node.config.version })
  return createRejection(gateway, ledger, reason)
}

function createRejection (gateway: Gateway, ledger: RunLedger, reason: RejectReason): CallAnswer {
  const { callers } = gateway
  switch (reason) {
    case 'unknownKey': return answerUnknownKey(gateway)
    case 'unconfirmedState': return createRefusal(callers, ledger, 'the key is not known, and the configuration may be out of date', unconfirmedStateRetryMs)
    case 'noCommonRegion': return createRefusal(callers, ledger, "no region is allowed by both the route and the caller's team", undefined)
  }
}

/** Returns the answer to a request whose key is not known. */
export function answerUnknownKey ({ callers }: Gateway): CallAnswer {
  return createTextAnswer(401, 'a known key is required', { 'www-authenticate': callers.keyScheme })
}
