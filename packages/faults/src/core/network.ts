/**
 * A small in-memory network in virtual time, whose links can drop, delay, duplicate, reorder and block messages.
 * All random values come from one seeded source, so that a run can be repeated.
 */
import type { Millis, Random } from '@lynxcourse/base'
import { createTimeline, scheduleAt } from '@lynxcourse/base/timeline'
import type { Timeline } from '@lynxcourse/base/timeline'

/** A process on the network. */
export interface Host {
  readonly name: string
  readonly region: string
  isAlive: boolean
  isFrozen: boolean
  /** Grows with each kill; scheduled work and messages of an earlier life are dropped. */
  life: number
  /** Messages and timers that became due while the host was frozen. */
  backlog: Array<() => void>
}

/** Loss, duplication and delay on all links. */
export interface LinkConditions {
  /** Fraction of messages that are lost. */
  dropRate: number
  /** Fraction of messages that are delivered twice. */
  duplicateRate: number
  /** Maximum random delay on top of the latency; different delays reorder messages. */
  jitterMs: Millis
}

export const normalConditions: LinkConditions = { dropRate: 0, duplicateRate: 0, jitterMs: 2 }

export interface Network extends Timeline {
  readonly random: Random
  linkConditions: LinkConditions
  /** One-way latency between regions. */
  readonly latencyMs: Millis
  readonly hosts: Map<string, Host>
  /** Blocked directions of links, as `from>to`. */
  readonly blockedLinks: Set<string>
  messages: number
}

const sameRegionMs = 1

export function createNetwork (random: Random, latencyMs: Millis, startAt: Millis): Network {
  return { ...createTimeline(startAt), random, linkConditions: normalConditions, latencyMs, hosts: new Map(), blockedLinks: new Set(), messages: 0 }
}

export function addHost (network: Network, name: string, region: string): Host {
  const host: Host = { name, region, isAlive: true, isFrozen: false, life: 1, backlog: [] }
  network.hosts.set(name, host)
  return host
}

/** Runs an action at a host after a delay. The action is dropped if the host has died, and deferred while it is frozen. */
export function scheduleAtHost (network: Network, host: Host, delayMs: Millis, action: () => void): void {
  const { life } = host
  scheduleAt(network, network.now + delayMs, () => runOrDefer(host, life, action))
}

function runOrDefer (host: Host, life: number, action: () => void): void {
  if (!host.isAlive || host.life !== life) return
  if (host.isFrozen) host.backlog.push(() => runOrDefer(host, life, action))
  else action()
}

/** Sends a message from one host to another; `action` runs at the receiver. */
export function send (network: Network, from: Host, to: Host, action: () => void): void {
  network.messages += 1
  if (!from.isAlive || network.blockedLinks.has(`${from.name}>${to.name}`)) return
  if (network.random() < network.linkConditions.dropRate) return
  deliver(network, from, to, action)
  if (network.random() < network.linkConditions.duplicateRate) deliver(network, from, to, action)
}

/** Sends a message over a stream such as TCP: it may be lost with its connection, but is never delivered twice. */
export function sendOverStream (network: Network, from: Host, to: Host, action: () => void): void {
  network.messages += 1
  if (!from.isAlive || network.blockedLinks.has(`${from.name}>${to.name}`)) return
  if (network.random() >= network.linkConditions.dropRate) deliver(network, from, to, action)
}

function deliver (network: Network, from: Host, to: Host, action: () => void): void {
  const base = from.region === to.region ? sameRegionMs : network.latencyMs
  const delay = base + network.random() * network.linkConditions.jitterMs
  const life = to.life
  scheduleAt(network, network.now + delay, () => {
    // A blocked link also drops messages in flight, as a broken link does.
    if (network.blockedLinks.has(`${from.name}>${to.name}`)) return
    runOrDefer(to, life, action)
  })
}

/** Blocks all links of a host, in both directions or only those from the host. */
export function isolateHost (network: Network, host: Host, oneWay: boolean): void {
  for (const other of network.hosts.values()) {
    if (other === host) continue
    network.blockedLinks.add(`${host.name}>${other.name}`)
    if (!oneWay) network.blockedLinks.add(`${other.name}>${host.name}`)
  }
}

/** Resumes a frozen host and runs its backlog. */
export function unfreeze (host: Host): void {
  host.isFrozen = false
  const backlog = host.backlog
  host.backlog = []
  for (const action of backlog) action()
}
