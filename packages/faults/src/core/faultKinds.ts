/** The faults of the matrix: how each one is injected, and when it heals. */
import { voters } from '@lynxcourse/agreement'
import type { HolderId } from '@lynxcourse/base'
import { scheduleAt } from '@lynxcourse/base/timeline'
import { isLeader } from './controlLog.js'
import { getControlId } from './controlModel.js'
import { isolateHost, unfreeze } from './network.js'
import type { Host } from './network.js'
import { publishCap } from './operators.js'
import { killHost, updateKnownVersion, restartHost } from './scene.js'
import type { Scene } from './scene.js'
import type { ControlModel, World } from '../types/world.js'

/** A fault that can be injected at a step. */
export interface FaultKind {
  readonly name: string
  /** Injects the fault at the host that reached the step. The fault heals by itself within `healMs`. */
  readonly inject: (scene: Scene, host: Host) => void
}

/** Time after the injection by which every fault has healed. */
export const healMs = 4500

const downtimeMs = 1500
const longFaultMs = 3500

function scheduleAfter (scene: Scene, ms: number, work: () => void): void {
  scheduleAt(scene.world.network, scene.world.network.now + ms, work)
}

function findLeader (world: World): ControlModel | undefined {
  return world.controls.find(control => control.host.isAlive && isLeader(control))
}

function getLeaderHost (scene: Scene, host: Host): Host {
  return findLeader(scene.world)?.host ?? host
}

function killAndRestart (scene: Scene, host: Host, ms: number): void {
  killHost(host)
  scheduleAfter(scene, ms, () => restartHost(scene, host))
}

function freeze (scene: Scene, host: Host): void {
  host.isFrozen = true
  scheduleAfter(scene, longFaultMs, () => { if (host.isFrozen) unfreeze(host) })
}

function isolate (scene: Scene, host: Host, oneWay: boolean): void {
  isolateHost(scene.world.network, host, oneWay)
  scheduleAfter(scene, longFaultMs, () => scene.world.network.blockedLinks.clear())
}

/** Isolates a VM from all control VMs. It still reaches callers and backend servers, so its wrong decisions take effect. */
function isolateFromControlVms (scene: Scene, host: Host): void {
  const { blockedLinks } = scene.world.network
  for (const control of scene.world.controls) {
    blockedLinks.add(`${host.name}>${control.host.name}`)
    blockedLinks.add(`${control.host.name}>${host.name}`)
  }
  scheduleAfter(scene, longFaultMs, () => blockedLinks.clear())
}

/** Erases a control VM's disk and restarts the process under a new incarnation. */
export function loseDisk (scene: Scene, control: ControlModel): void {
  killHost(control.host)
  const nextIncarnation = scene.world.disabledGuards.has('newIncarnation') ? control.disk.incarnation : `i${Number(control.disk.incarnation.slice(1)) + 1}`
  const voterIds = getNewestVoters(scene.world)
  control.disk = { incarnation: nextIncarnation, cluster: false, stored: undefined }
  const remainingVoters = voterIds.filter(id => scene.world.controls.some(other => getControlId(other) === id)).length
  if (remainingVoters <= voterIds.length / 2) scene.world.checks.majorityLost = true
  scheduleAfter(scene, 300, () => restartHost(scene, control.host))
}

/** Returns the voters by the newest membership entry that any replica has. */
function getNewestVoters (world: World): readonly HolderId[] {
  const replicas = world.controls.map(control => control.replica).filter(replica => replica !== undefined)
  const newest = replicas.sort((a, b) => b.membersIndex - a.membersIndex)[0]
  return newest === undefined ? [] : voters(newest)
}

/** Returns the control VM on the host, or the leader if the host has none. */
function selectControl (scene: Scene, host: Host): ControlModel | undefined {
  return scene.world.controls.find(control => control.host === host) ?? findLeader(scene.world)
}

/** Loses a second disk as soon as the first one is repaired, before the cluster has stabilized. */
function loseSecondAfterRepair (scene: Scene, firstControl: ControlModel): void {
  loseDisk(scene, firstControl)
  const awaitRepair = (): void => {
    const leader = findLeader(scene.world)
    const isRepaired = leader?.replica?.members.some(member => member.id === getControlId(firstControl) && member.voter) ?? false
    const isCommitted = leader?.replica !== undefined && leader.replica.membersIndex <= leader.replica.commit
    if (!isRepaired || !isCommitted) {
      scheduleAfter(scene, 10, awaitRepair)
      return
    }
    const secondControl = scene.world.controls.find(control => control !== firstControl)
    if (secondControl !== undefined) loseDisk(scene, secondControl)
  }
  scheduleAfter(scene, 10, awaitRepair)
}

function degradeNetwork (scene: Scene): void {
  scene.world.network.linkConditions = { dropRate: 0.2, duplicateRate: 0.2, jitterMs: 120 }
  scheduleAfter(scene, longFaultMs, () => { scene.world.network.linkConditions = { dropRate: 0, duplicateRate: 0, jitterMs: 2 } })
}

function silenceConnections (scene: Scene): void {
  for (const server of scene.world.servers) for (const entry of scene.world.entries) server.silentEntryVms.add(entry.vm)
  scheduleAfter(scene, longFaultMs, () => { for (const server of scene.world.servers) server.silentEntryVms.clear() })
}

function stopReports (scene: Scene): void {
  for (const entry of scene.world.entries) entry.areReportsStopped = true
  scheduleAfter(scene, longFaultMs, () => { for (const entry of scene.world.entries) entry.areReportsStopped = false })
}

function raceOperators (scene: Scene): void {
  for (let round = 0; round < 3; round++) {
    scheduleAfter(scene, round * 200, () => {
      const version = scene.profileVersion
      for (const operator of [scene.alice, scene.bob]) {
        publishCap(scene.world, operator, version, operator === scene.alice ? 6 : 7, answer => updateKnownVersion(scene, answer))
      }
    })
  }
}

/** Stops a control VM while hundreds of changes are made. After its restart it must not act on outdated state. */
function missManyChanges (scene: Scene, host: Host): void {
  const control = selectControl(scene, host)
  if (control === undefined) return
  killHost(control.host)
  let publishedCount = 0
  const publish = (): void => {
    if (publishedCount++ >= missedChanges) return
    publishCap(scene.world, scene.bob, scene.profileVersion, 6, answer => {
      updateKnownVersion(scene, answer)
      publish()
    })
  }
  publish()
  scheduleAfter(scene, longFaultMs, () => restartHost(scene, control.host))
}

const missedChanges = 300

/** All faults. */
export const faultKinds: readonly FaultKind[] = [
  { name: 'process dies', inject: (scene, host) => killAndRestart(scene, host, downtimeMs) },
  { name: 'leader dies', inject: (scene, host) => killAndRestart(scene, getLeaderHost(scene, host), downtimeMs) },
  { name: 'process frozen past its lease', inject: freeze },
  { name: 'leader frozen past its lease', inject: (scene, host) => freeze(scene, getLeaderHost(scene, host)) },
  { name: 'VM cut off', inject: (scene, host) => isolate(scene, host, false) },
  { name: 'leader cut off', inject: (scene, host) => isolate(scene, getLeaderHost(scene, host), false) },
  { name: 'VM cut off from all control VMs', inject: isolateFromControlVms },
  { name: 'leader hears but is not heard', inject: (scene, host) => isolate(scene, getLeaderHost(scene, host), true) },
  { name: 'region lost', inject: (scene, host) => { for (const other of [...scene.world.network.hosts.values()]) if (other.region === host.region && other.name[0] !== 'a' && other.name[0] !== 'b') killAndRestart(scene, other, longFaultMs) } },
  { name: 'disk lost', inject: (scene, host) => { const control = selectControl(scene, host); if (control !== undefined) loseDisk(scene, control) } },
  { name: 'second disk lost right after repair', inject: (scene, host) => { const control = selectControl(scene, host); if (control !== undefined) loseSecondAfterRepair(scene, control) } },
  { name: 'messages lost, doubled, reordered', inject: degradeNetwork },
  { name: 'connections silent', inject: silenceConnections },
  { name: 'measurements stop', inject: stopReports },
  { name: 'operators race and resend', inject: raceOperators },
  { name: 'away for hundreds of changes', inject: missManyChanges }
]
