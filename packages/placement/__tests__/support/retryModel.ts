/** Model of a fleet whose servers turn nearly all requests away, so that VMs spend what the retry budget allows. */
import { computeSlackShare, listMembers, maxRetryIdleMs, mayUseShare, recordBudgetedRequest, refundRetry, settleRetry, trySpendRetry } from '@lynxcourse/placement'
import type { RetryBudgetCfg, RetryCharge, RetryUsage } from '@lynxcourse/placement'
import { desk } from './fleet.js'
import { isDisturbed, playFleet, readClocks } from './fleetModel.js'
import type { Disturbance, ModelVm } from './fleetModel.js'

/** Rules that a run leaves out. */
export interface LeftOut {
  /** A VM uses its share of the slack from its start on, divided among the VMs that it knows. */
  readonly membership?: boolean
  /** Retries use connections that have been idle for long, so that a partition holds them up until it heals. */
  readonly freshConnections?: boolean
}

/** What a run plays. */
export interface ModelSetup {
  readonly vmCount: number
  /** Requests that callers send in a step. */
  readonly perStep: number
  /** Time that a server takes for a request. */
  readonly workMs: number
  readonly disturbances: readonly Disturbance[]
}

/** Times at which callers sent requests, and at which requests reached a server beyond their first arrival. */
export interface ModelRun {
  readonly requests: number[]
  readonly repeats: number[]
}

interface Budget {
  readonly usage: RetryUsage
  open: Array<{ readonly charge: RetryCharge, readonly settlesAt: number }>
}

const transitMs = 50
/** Retries that each request wants. */
const wantedRetries = 2
const burstFactor = 1.7

/** Plays a fleet for `endsAt` milliseconds. */
export function playRetries (cfg: RetryBudgetCfg, { vmCount, perStep, workMs, disturbances }: ModelSetup, endsAt: number, leftOut: LeftOut = {}): ModelRun {
  const run: ModelRun = { requests: [], repeats: [] }
  const budgets = new WeakMap<ModelVm, Budget>()
  let next = 0
  playFleet(vmCount, disturbances, endsAt, {
    step: (running, all, now) => {
      for (const vm of running) settleOpen(getBudget(budgets, vm), vm, now)
      const count = perStep * (isDisturbed(disturbances, 'burst', now) ? burstFactor : 1)
      const usedVms = isDisturbed(disturbances, 'shift', now) ? Math.ceil(all.length / 3) : all.length
      for (let sent = 0; sent < count; sent++) {
        run.requests.push(now)
        const vm = all[next++ % usedVms] as ModelVm
        if (running.includes(vm)) serve(vm, getBudget(budgets, vm), cfg, run, { workMs, leftOut }, now)
      }
    }
  })
  return run
}

function getBudget (budgets: WeakMap<ModelVm, Budget>, vm: ModelVm): Budget {
  const budget = budgets.get(vm) ?? { usage: new Map(), open: [] }
  budgets.set(vm, budget)
  return budget
}

function settleOpen (budget: Budget, vm: ModelVm, now: number): void {
  for (const { charge, settlesAt } of budget.open) if (settlesAt <= now) settleRetry(charge, readClocks(vm, now).steady)
  budget.open = budget.open.filter(({ settlesAt }) => settlesAt > now)
}

interface Serving { readonly workMs: number, readonly leftOut: LeftOut }

function serve (vm: ModelVm, { usage, open }: Budget, cfg: RetryBudgetCfg, run: ModelRun, { workMs, leftOut }: Serving, now: number): void {
  const clock = readClocks(vm, now)
  recordBudgetedRequest(usage, cfg, desk, clock.steady, clock.steady)
  const hasShare = leftOut.membership === true || mayUseShare(vm.membership, cfg.windowMs, clock)
  const slackShare = hasShare ? computeSlackShare(cfg, listMembers(vm.membership).length) : 0
  for (let retry = 0; retry < wantedRetries; retry++) {
    const charge = trySpendRetry(usage, cfg, desk, 'full', slackShare, clock.steady)
    if (charge === undefined) return
    const isHeld = now >= vm.heldFrom && now < vm.heldUntil
    if (isHeld && now >= vm.heldFrom + maxRetryIdleMs && leftOut.freshConnections !== true) {
      refundRetry(usage, charge)
      continue
    }
    const arrivesAt = isHeld ? vm.heldUntil : now + transitMs
    run.repeats.push(arrivesAt)
    open.push({ charge, settlesAt: arrivesAt + workMs })
  }
}

/** Returns the first window with more repeats than the budget allows for the requests sent in it, or in the window before it or half before it. */
export function findExceededWindow ({ requests, repeats }: ModelRun, { ratio, windowMs, slack }: RetryBudgetCfg): string | undefined {
  const sorted = [...repeats].sort((a, b) => a - b)
  for (const from of new Set(sorted)) {
    const count = countWithin(sorted, from, windowMs)
    const sent = Math.max(...[0, windowMs / 2, windowMs].map(before => countWithin(requests, from - before, windowMs)))
    if (count > ratio * sent + slack) return `${count} repeats from ${from} on, for ${sent} requests`
  }
  return undefined
}

/** Counts the times of a sorted list within a window. */
export function countWithin (times: readonly number[], from: number, forMs: number): number {
  return countBefore(times, from + forMs) - countBefore(times, from)
}

function countBefore (times: readonly number[], end: number): number {
  let low = 0
  let high = times.length
  while (low < high) {
    const middle = (low + high) >> 1
    if ((times[middle] as number) < end) low = middle + 1
    else high = middle
  }
  return low
}
