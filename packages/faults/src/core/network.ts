/**
 * A small in-memory network with its own time, and links that drop, delay,
 * duplicate, reorder and cut. Everything is drawn from one seeded source, so that a run can be repeated.
 */
import type { Millis, Random } from '@lynxcourse/base'
import { createTimeline, scheduleAt } from '@lynxcourse/base/timeline'
import type { Timeline } from '@lynxcourse/base/timeline'

/** A process on the network. */
export interface Host {
  readonly name: string
  readonly region: string
  alive: boolean
  frozen: boolean
  /** Grows with each start; what an earlier life had planned is void. */
  life: number
  /** What arrived while the host was frozen. */
  backlog: Array<() => void>
}

/** How links behave. */
export interface Weather {
  /** Share of messages lost. */
  drop: number
  /** Share of messages delivered twice. */
  duplicate: number
  /** Longest extra delay; differing delays reorder messages. */
  jitterMs: Millis
}

export const calm: Weather = { drop: 0, duplicate: 0, jitterMs: 2 }

export interface Network extends Timeline {
  readonly random: Random
  weather: Weather
  /** One-way latency between regions. */
  readonly latencyMs: Millis
  readonly hosts: Map<string, Host>
  /** Cut directions, as `from>to`. */
  readonly cuts: Set<string>
  messages: number
}

const sameRegionMs = 1

export function createNetwork (random: Random, latencyMs: Millis, startAt: Millis): Network {
  return { ...createTimeline(startAt), random, weather: calm, latencyMs, hosts: new Map(), cuts: new Set(), messages: 0 }
}

export function addHost (network: Network, name: string, region: string): Host {
  const host: Host = { name, region, alive: true, frozen: false, life: 1, backlog: [] }
  network.hosts.set(name, host)
  return host
}

/** Runs work at a host after a while, unless that life of it has ended by then; a frozen host does it later. */
export function planAt (network: Network, host: Host, delayMs: Millis, run: () => void): void {
  const { life } = host
  scheduleAt(network, network.now + delayMs, () => arrive(host, life, run))
}

function arrive (host: Host, life: number, run: () => void): void {
  if (!host.alive || host.life !== life) return
  if (host.frozen) host.backlog.push(() => arrive(host, life, run))
  else run()
}

/** Sends something from one host to another. */
export function send (network: Network, from: Host, to: Host, run: () => void): void {
  network.messages += 1
  if (!from.alive || network.cuts.has(`${from.name}>${to.name}`)) return
  if (network.random() < network.weather.drop) return
  deliver(network, from, to, run)
  if (network.random() < network.weather.duplicate) deliver(network, from, to, run)
}

/** Sends over a stream, as TCP does: a message may be lost with its connection, but never comes twice. */
export function sendOverStream (network: Network, from: Host, to: Host, run: () => void): void {
  network.messages += 1
  if (!from.alive || network.cuts.has(`${from.name}>${to.name}`)) return
  if (network.random() >= network.weather.drop) deliver(network, from, to, run)
}

function deliver (network: Network, from: Host, to: Host, run: () => void): void {
  const base = from.region === to.region ? sameRegionMs : network.latencyMs
  const delay = base + network.random() * network.weather.jitterMs
  const life = to.life
  scheduleAt(network, network.now + delay, () => {
    // A cut also takes what is under way, as a broken link does.
    if (network.cuts.has(`${from.name}>${to.name}`)) return
    arrive(to, life, run)
  })
}

/** Cuts a host off, both ways or only what it sends. */
export function cutOff (network: Network, host: Host, oneWay: boolean): void {
  for (const other of network.hosts.values()) {
    if (other === host) continue
    network.cuts.add(`${host.name}>${other.name}`)
    if (!oneWay) network.cuts.add(`${other.name}>${host.name}`)
  }
}

/** Lets a host go on; what arrived meanwhile arrives now. */
export function thaw (host: Host): void {
  host.frozen = false
  const backlog = host.backlog
  host.backlog = []
  for (const run of backlog) run()
}
