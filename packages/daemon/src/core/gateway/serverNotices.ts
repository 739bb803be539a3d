/** Observes what backend servers say about themselves. */
import { recordAnswerStatements } from '@lynxcourse/placement'
import type { FleetServer, PublishedLimitChange } from '@lynxcourse/placement'
import { getCurrentTime } from '../../utils/clock.js'
import { logLimitChange, reportNoticeChanges } from '../../utils/noticeLog.js'
import type { Call } from './call.js'
import type { AnswerHead } from './exchange.js'
import type { Gateway } from './gateway.js'

/** Records what the head of an answer says about its server, unless another server or request caused the answer. */
export function observeStatements (gateway: Gateway, { facts }: Call, server: FleetServer, { status, headers }: AnswerHead): void {
  const { node, servers } = gateway
  const kind = servers.classifyAnswer(facts, status, headers)
  if (kind === 'elsewhere' || kind === 'spoiled') return
  const changes = recordAnswerStatements(gateway, server, servers.parseStatements(status, headers), getCurrentTime())
  reportNoticeChanges(node, server.facts.id, server.notice, changes, facts.id)
}

/** Logs the limits that changed by the leader's word. */
export function logPublishedLimits ({ node: { logs } }: Gateway, changes: readonly PublishedLimitChange[]): void {
  for (const { server, change } of changes) logLimitChange(logs, server, change, { source: 'leader' })
}
