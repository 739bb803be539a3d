/** The faults that the brief names: what strikes, and what heals afterwards. */
import { voters } from '@lynxcourse/agreement'
import type { HolderId } from '@lynxcourse/base'
import { scheduleAt } from '@lynxcourse/base/timeline'
import { leadsNow } from './controlLog.js'
import { idOf } from './controlModel.js'
import { cutOff, thaw } from './network.js'
import type { Host } from './network.js'
import { publishCap } from './operators.js'
import { killHost, learnVersion, restartHost } from './world.js'
import type { Scene } from './world.js'
import type { ControlModel, World } from '../types/world.js'

/** A fault. `strike` is called at its step with the host that takes the step. */
export interface FaultKind {
  readonly name: string
  /** Brings the fault about; it heals by itself within `healMs`. */
  readonly strike: (scene: Scene, host: Host) => void
}

/** All faults have healed by this long after the strike. */
export const healMs = 4500

const deadMs = 1500
const longMs = 3500

function later (scene: Scene, ms: number, work: () => void): void {
  scheduleAt(scene.world.network, scene.world.network.now + ms, work)
}

function leaderOf (world: World): ControlModel | undefined {
  return world.controls.find(control => control.host.alive && leadsNow(control))
}

function leaderHost (scene: Scene, host: Host): Host {
  return leaderOf(scene.world)?.host ?? host
}

function dieAndReturn (scene: Scene, host: Host, ms: number): void {
  killHost(host)
  later(scene, ms, () => restartHost(scene, host))
}

function freeze (scene: Scene, host: Host): void {
  host.frozen = true
  later(scene, longMs, () => { if (host.frozen) thaw(host) })
}

function cut (scene: Scene, host: Host, oneWay: boolean): void {
  cutOff(scene.world.network, host, oneWay)
  later(scene, longMs, () => scene.world.network.cuts.clear())
}

/** The VM still reaches callers and backend servers, so whatever it does wrong takes effect. */
function cutFromControl (scene: Scene, host: Host): void {
  const { cuts } = scene.world.network
  for (const control of scene.world.controls) {
    cuts.add(`${host.name}>${control.host.name}`)
    cuts.add(`${control.host.name}>${host.name}`)
  }
  later(scene, longMs, () => cuts.clear())
}

/** A lost disk: the process comes back under a new incarnation and with nothing. */
export function loseDisk (scene: Scene, control: ControlModel): void {
  killHost(control.host)
  const next = scene.world.without.has('newIncarnation') ? control.disk.incarnation : `i${Number(control.disk.incarnation.slice(1)) + 1}`
  const voterIds = newestVoters(scene.world)
  control.disk = { incarnation: next, cluster: false, stored: undefined }
  const left = voterIds.filter(id => scene.world.controls.some(other => idOf(other) === id)).length
  if (left <= voterIds.length / 2) scene.world.checks.majorityLost = true
  later(scene, 300, () => restartHost(scene, control.host))
}

/** The voters by the longest log that any disk holds. */
function newestVoters (world: World): readonly HolderId[] {
  const replicas = world.controls.map(control => control.replica).filter(replica => replica !== undefined)
  const newest = replicas.sort((a, b) => b.membersIndex - a.membersIndex)[0]
  return newest === undefined ? [] : voters(newest)
}

/** A control VM for a fault that needs one: the host itself, or the leader. */
function controlAt (scene: Scene, host: Host): ControlModel | undefined {
  return scene.world.controls.find(control => control.host === host) ?? leaderOf(scene.world)
}

/** Loses a second disk right after the first is repaired, before anything has settled. */
function loseSecondAfterRepair (scene: Scene, first: ControlModel): void {
  loseDisk(scene, first)
  const watch = (): void => {
    const leader = leaderOf(scene.world)
    const isRepaired = leader?.replica?.members.some(member => member.id === idOf(first) && member.voter) ?? false
    const isCommitted = leader?.replica !== undefined && leader.replica.membersIndex <= leader.replica.commit
    if (!isRepaired || !isCommitted) {
      later(scene, 10, watch)
      return
    }
    const second = scene.world.controls.find(control => control !== first)
    if (second !== undefined) loseDisk(scene, second)
  }
  later(scene, 10, watch)
}

function storm (scene: Scene): void {
  scene.world.network.weather = { drop: 0.2, duplicate: 0.2, jitterMs: 120 }
  later(scene, longMs, () => { scene.world.network.weather = { drop: 0, duplicate: 0, jitterMs: 2 } })
}

function silence (scene: Scene): void {
  for (const server of scene.world.servers) for (const entry of scene.world.entries) server.silentFrom.add(entry.vm)
  later(scene, longMs, () => { for (const server of scene.world.servers) server.silentFrom.clear() })
}

function stopReports (scene: Scene): void {
  for (const entry of scene.world.entries) entry.silentReports = true
  later(scene, longMs, () => { for (const entry of scene.world.entries) entry.silentReports = false })
}

function race (scene: Scene): void {
  for (let round = 0; round < 3; round++) {
    later(scene, round * 200, () => {
      const version = scene.profileVersion
      for (const operator of [scene.alice, scene.bob]) {
        publishCap(scene.world, operator, version, operator === scene.alice ? 6 : 7, answer => learnVersion(scene, answer))
      }
    })
  }
}

/** A control VM is away while hundreds of changes are made; it must not act on what it remembers. */
function longAbsence (scene: Scene, host: Host): void {
  const control = controlAt(scene, host)
  if (control === undefined) return
  killHost(control.host)
  let made = 0
  const publish = (): void => {
    if (made++ >= hundredsOfChanges) return
    publishCap(scene.world, scene.bob, scene.profileVersion, 6, answer => {
      learnVersion(scene, answer)
      publish()
    })
  }
  publish()
  later(scene, longMs, () => restartHost(scene, control.host))
}

const hundredsOfChanges = 300

/** The faults, by name. */
export const faultKinds: readonly FaultKind[] = [
  { name: 'process dies', strike: (scene, host) => dieAndReturn(scene, host, deadMs) },
  { name: 'leader dies', strike: (scene, host) => dieAndReturn(scene, leaderHost(scene, host), deadMs) },
  { name: 'process frozen past its lease', strike: freeze },
  { name: 'leader frozen past its lease', strike: (scene, host) => freeze(scene, leaderHost(scene, host)) },
  { name: 'VM cut off', strike: (scene, host) => cut(scene, host, false) },
  { name: 'leader cut off', strike: (scene, host) => cut(scene, leaderHost(scene, host), false) },
  { name: 'VM cut off from all control VMs', strike: cutFromControl },
  { name: 'leader hears but is not heard', strike: (scene, host) => cut(scene, leaderHost(scene, host), true) },
  { name: 'region lost', strike: (scene, host) => { for (const other of [...scene.world.network.hosts.values()]) if (other.region === host.region && other.name[0] !== 'a' && other.name[0] !== 'b') dieAndReturn(scene, other, longMs) } },
  { name: 'disk lost', strike: (scene, host) => { const control = controlAt(scene, host); if (control !== undefined) loseDisk(scene, control) } },
  { name: 'second disk lost right after repair', strike: (scene, host) => { const control = controlAt(scene, host); if (control !== undefined) loseSecondAfterRepair(scene, control) } },
  { name: 'messages lost, doubled, reordered', strike: storm },
  { name: 'connections silent', strike: silence },
  { name: 'measurements stop', strike: stopReports },
  { name: 'operators race and resend', strike: race },
  { name: 'away for hundreds of changes', strike: longAbsence }
]
