/**
 * The leader's board of loads: what all entry VMs see, put together and given back to all of them.
 *
 * What can go wrong: each of many entry VMs sends a given server one request in seconds, so none of
 * them knows of a queue that the others built there. It shows as requests that wait behind full queues
 * while servers beside them are idle. Together the VMs hear of each server several times a second, since
 * each answer tells its server's load; the leader smooths that and names the servers that are nearly full.
 */
import type { Millis, RegionId, ServerId, ServiceId } from '@lynxcourse/base'
import { stepWeights } from '../object/serverWeights.js'
import type { ServerFill } from '../object/serverWeights.js'
import type { RegionPlan } from '../region/regionPlan.js'
import { planRegions, smoothDemand } from './boardPlans.js'
import { createSilentServers, noteSilences, silentNow } from './silentServers.js'
import type { SilentServers } from './silentServers.js'
import type { SlotDemand, LoadDigest, LoadUpdate, PlanUpdate, KnownServers, ServiceSlots, WeightUpdate } from '../../types/loads.js'

/** Kept up by the leader; every other control VM holds the last news and plans, so that it can go on from them. */
export interface LoadBoard {
  /** Smoothed requests ahead by server. */
  readonly smoothed: Map<ServerId, { ahead: number, at: Millis }>
  /** Fills of servers over some seconds, from which weights move. */
  readonly fills: Map<ServerId, number>
  /** Busy slots by control VM. */
  readonly byControl: Map<string, { readonly busy: SlotDemand, readonly at: Millis }>
  /** Smoothed demand by service and region, and its highest value of late. */
  readonly demand: Map<string, number>
  readonly peaks: Map<string, number>
  readonly plans: Map<ServiceId, RegionPlan>
  readonly silent: SilentServers
  readonly weights: Map<ServerId, number>
  weightsToldAt: Millis
  /** Services whose plan follows measured demand. */
  readonly measured: Set<ServiceId>
  plannedAt: Millis
  /** Since when there are reports of demand; undefined before the first. */
  measuringSince: Millis | undefined
  /** When this VM began to lead, or went on after a pause: until it has heard of all, what it measures is too little. */
  resumedAt: Millis
  /** Slots of each region at the last plan, and until when a loss of some lets objects move fast. */
  readonly slots: Map<string, number>
  lossUntil: Millis
  /** When the news was last written to disk. */
  keptAt: Millis
  /** Part that stays near by service and region, as the log last said. */
  readonly told: Map<string, number>
  news: LoadUpdate
}

/** Smoothing of a server's load by its reports, some five a second. */
const aheadSmoothing = 0.35
/** A server not heard of for this long has no queue that anybody feeds. */
const aheadForMs: Millis = 2500
/** Requests ahead for each slot from which a server is named: a shorter queue is gone when the word of it arrives, and what left for it is cold elsewhere. */
const namedFill = 2
/** Most servers named at once, the fullest first: about 8 KB. */
const maxNamed = 400
/** Time over which a server's fill is followed for its weight: at five slots, half of what a moment shows is chance. */
const fillSmoothingMs: Millis = 3000
/** Weights are told this often: 175 of them are 4 KB, and the objects that they move should get warm before the next ones move. */
const weightsEveryMs: Millis = 2000
/** A weight nearer to 1 than this moves next to nothing. */
const leastToldChange = 0.03
/** A leader that did not plan for this long has perhaps just begun to lead; entry VMs report within the time after it. */
const pauseMs: Millis = 2000
export function createLoadBoard (): LoadBoard {
  return {
    smoothed: new Map(),
    fills: new Map(),
    byControl: new Map(),
    demand: new Map(),
    peaks: new Map(),
    plans: new Map(),
    silent: createSilentServers(),
    weights: new Map(),
    weightsToldAt: -Infinity,
    measured: new Set(),
    plannedAt: -Infinity,
    measuringSince: undefined,
    resumedAt: -Infinity,
    slots: new Map(),
    lossUntil: -Infinity,
    keptAt: -Infinity,
    told: new Map(),
    news: { full: [], plans: [], silent: [] }
  }
}

/** Takes a control VM's digest at the leader. */
export function noteDigest (board: LoadBoard, control: string, digest: LoadDigest, now: Millis): void {
  board.byControl.set(control, { busy: digest.busy, at: now })
  noteSilences(board.silent, digest, now)
  for (const [server, ahead] of digest.servers) {
    const held = board.smoothed.get(server)
    const before = held === undefined || now - held.at > aheadForMs ? ahead : held.ahead
    board.smoothed.set(server, { ahead: before + (ahead - before) * aheadSmoothing, at: now })
  }
}

/** Smooths the demand, moves the plans on and names the full servers; at the leader, once an exchange. */
export function updateBoard (board: LoadBoard, slots: ServiceSlots, places: KnownServers, now: Millis): void {
  const passedMs = Number.isFinite(board.plannedAt) ? Math.min(1000, now - board.plannedAt) : 0
  if (now - board.plannedAt > pauseMs) board.resumedAt = now
  board.plannedAt = now
  smoothDemand(board, passedMs, now)
  planRegions(board, slots, places, passedMs, now)
  const full = fullServers(board, places, now)
  smoothFills(board, places, passedMs)
  stepWeights(board.weights, settledFills(board, places), passedMs)
  const silent = silentNow(board.silent, id => places.has(id), now)
  board.news = { full, silent, plans: encodePlans(board, fillsOf(board, places, slots)), weights: weightNews(board, places, now) }
}

function fullServers (board: LoadBoard, places: KnownServers, now: Millis): LoadUpdate['full'] {
  const named: Array<readonly [ServerId, number]> = []
  for (const [server, { ahead, at }] of board.smoothed) {
    const slots = places.get(server)?.slots
    if (slots === undefined || now - at > aheadForMs) board.smoothed.delete(server)
    else if (ahead >= slots * namedFill) named.push([server, Math.round(ahead * 10) / 10])
  }
  return named.sort((a, b) => b[1] - a[1]).slice(0, maxNamed)
}

/** Follows the servers' fills over some seconds; what is left of chance in them moves no weights. */
function smoothFills (board: LoadBoard, places: KnownServers, passedMs: Millis): void {
  const part = Math.min(1, passedMs / fillSmoothingMs)
  for (const [id, { ahead }] of board.smoothed) {
    const slots = places.get(id)?.slots ?? 1
    const held = board.fills.get(id) ?? ahead / slots
    board.fills.set(id, held + (ahead / slots - held) * part)
  }
  for (const id of board.fills.keys()) if (!board.smoothed.has(id)) board.fills.delete(id)
}

/** Fills of the servers that were heard of lately and take work like their neighbours. */
function settledFills (board: LoadBoard, places: KnownServers): ServerFill[] {
  const fills: ServerFill[] = []
  for (const [id, fill] of board.fills) {
    const place = places.get(id)
    if (place?.region !== undefined && place.isSettled) fills.push({ id, service: place.service, region: place.region, fill })
  }
  return fills
}

/** The weights to be told; the last ones until it is time for new ones, so that VMs hear of each version once. */
function weightNews (board: LoadBoard, places: KnownServers, now: Millis): WeightUpdate {
  const told = board.news.weights
  if (told !== undefined && now - board.weightsToldAt < weightsEveryMs) return told
  board.weightsToldAt = now
  for (const id of board.weights.keys()) if (!places.has(id)) board.weights.delete(id)
  const servers = [...board.weights].filter(([, weight]) => Math.abs(weight - 1) > leastToldChange)
  return { version: Math.round(now), servers: servers.map(([id, weight]) => [id, Math.round(weight * 100) / 100]) }
}

/** The news for a VM that holds a version of the weights. */
export function newsFor (news: LoadUpdate, heldWeights: number): LoadUpdate {
  if (news.weights?.version !== heldWeights) return news
  return { full: news.full, plans: news.plans, silent: news.silent }
}

/** Requests ahead for each slot, by service; a server that nobody reported lately counts as idle. */
function fillsOf (board: LoadBoard, places: KnownServers, slots: ServiceSlots): Map<ServiceId, number> {
  const ahead = new Map<ServiceId, number>()
  for (const [server, held] of board.smoothed) {
    const service = places.get(server)?.service
    if (service !== undefined) ahead.set(service, (ahead.get(service) ?? 0) + held.ahead)
  }
  return new Map([...slots].map(([service, byRegion]) => {
    const total = [...byRegion.values()].reduce((sum, count) => sum + count, 0)
    return [service, total === 0 ? 0 : (ahead.get(service) ?? 0) / total]
  }))
}

function encodePlans ({ plans, measured, demand, peaks }: LoadBoard, fills: ReadonlyMap<ServiceId, number>): PlanUpdate[] {
  const round = (slots: number): number => Math.round(slots * 10) / 10
  const rounded = (shares: ReadonlyMap<RegionId, number>): Array<readonly [RegionId, number]> => [...shares].map(([region, share]) => [region, Math.round(share * 1000) / 1000])
  return [...plans].map(([service, plan]) => ({
    service,
    isMeasured: measured.has(service),
    fill: Math.round((fills.get(service) ?? 0) * 100) / 100,
    busy: round([...plan.keys()].reduce((sum, region) => sum + (demand.get(`${service} ${region}`) ?? 0), 0)),
    demand: [...plan.keys()].map(region => [region, round(peaks.get(`${service} ${region}`) ?? 0)]),
    shares: [...plan].map(([region, shares]) => [region, rounded(shares)])
  }))
}

/** Takes the leader's news at another control VM, which may lead next and then goes on from these plans. */
export function takeNews (board: LoadBoard, news: LoadUpdate): void {
  const weights = news.weights ?? board.news.weights
  board.news = weights === undefined ? news : { ...news, weights }
  board.weights.clear()
  for (const [id, weight] of weights?.servers ?? []) board.weights.set(id, weight)
  board.plans.clear()
  for (const { service, isMeasured, demand, shares } of news.plans) {
    for (const [region, slots] of demand) {
      board.demand.set(`${service} ${region}`, slots)
      board.peaks.set(`${service} ${region}`, slots)
    }
    board.plans.set(service, new Map(shares.map(([region, inRegion]) => [region, new Map(inRegion)])))
    if (isMeasured) board.measured.add(service)
  }
}
