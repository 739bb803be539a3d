/** Sums the reports of all VMs over a period. */
import type { ServerId } from '@lynxcourse/base'
import type { AnswerCounts, RolloutReport, RouteEvidence } from '../types/evidence.js'

/** The latest report of each entry VM, by the VM's name. */
export type ReportByVm = ReadonlyMap<string, RolloutReport>

/** Counts of both versions in the same period. */
export interface VersionCounts { readonly baseline: AnswerCounts, readonly target: AnswerCounts }

/** Answers of one server of the target version. */
export interface ServerCounts { readonly answers: number, readonly bad: number }

/** What all VMs observed in one period. */
export interface EvidenceWindow {
  readonly all: VersionCounts
  readonly routes: ReadonlyMap<string, VersionCounts>
  readonly servers: ReadonlyMap<ServerId, ServerCounts>
}

const noAnswers: AnswerCounts = { answers: 0, failures: 0, slow: 0 }
const noCounts: VersionCounts = { baseline: noAnswers, target: noAnswers }

/** Returns the number of bad answers. */
export function getBad ({ failures, slow }: AnswerCounts): number {
  return failures + slow
}

function addAnswers (left: AnswerCounts, right: AnswerCounts): AnswerCounts {
  return { answers: left.answers + right.answers, failures: left.failures + right.failures, slow: left.slow + right.slow }
}

function subtractAnswers (left: AnswerCounts, right: AnswerCounts): AnswerCounts {
  return { answers: Math.max(0, left.answers - right.answers), failures: Math.max(0, left.failures - right.failures), slow: Math.max(0, left.slow - right.slow) }
}

function addCounts (left: VersionCounts, right: VersionCounts): VersionCounts {
  return { baseline: addAnswers(left.baseline, right.baseline), target: addAnswers(left.target, right.target) }
}

/**
 * Sums what the VMs observed since their earlier reports.
 *
 * A VM that restarted counts from zero again, so that all of its current counts are new. The same holds for a VM without
 * an earlier report.
 */
export function computeWindow (current: ReportByVm, earlier: ReportByVm): EvidenceWindow {
  let all = noCounts
  const routes = new Map<string, VersionCounts>()
  const servers = new Map<ServerId, ServerCounts>()
  for (const [vm, report] of current) {
    const before = earlier.get(vm)
    const past = before === undefined || countAnswers(report) < countAnswers(before) ? undefined : before
    const pastRoutes = new Map(past?.routes.map(evidence => [evidence.route, evidence]))
    for (const evidence of report.routes) {
      const counts = subtractRoute(evidence, pastRoutes.get(evidence.route))
      routes.set(evidence.route, addCounts(routes.get(evidence.route) ?? noCounts, counts))
      all = addCounts(all, counts)
    }
    const pastServers = new Map(past?.servers.map(([server, answers, bad]) => [server, { answers, bad }]))
    for (const [server, answers, bad] of report.servers) {
      const pastCounts = pastServers.get(server)
      const sum = servers.get(server) ?? { answers: 0, bad: 0 }
      servers.set(server, { answers: sum.answers + Math.max(0, answers - (pastCounts?.answers ?? 0)), bad: sum.bad + Math.max(0, bad - (pastCounts?.bad ?? 0)) })
    }
  }
  return { all, routes, servers }
}

function countAnswers ({ routes }: RolloutReport): number {
  return routes.reduce((sum, { baseline, target }) => sum + baseline.answers + target.answers, 0)
}

function subtractRoute ({ baseline, target }: RouteEvidence, past: RouteEvidence | undefined): VersionCounts {
  if (past === undefined) return { baseline, target }
  return { baseline: subtractAnswers(baseline, past.baseline), target: subtractAnswers(target, past.target) }
}
