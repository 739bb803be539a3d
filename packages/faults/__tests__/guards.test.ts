/** Shows that each check can fail: the test disables a guard and expects a violation. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { buildScene, isolateHost, killHost, isLeader, loseDisk, restartHost, runCell, runFor, startLoad } from '@lynxcourse/faults'
import type { Guard, Scene, Step } from '@lynxcourse/faults'

const seed = 1

function getViolations (step: Step, fault: string, disabledGuards: readonly Guard[]): readonly string[] {
  return runCell({ step, faults: [fault] }, seed, disabledGuards).violations
}

test('without claims a resent request runs twice', () => {
  // Guards against a firm offer that is booked twice.
  assert.deepEqual(getViolations('claim', 'process dies', []), [])
  assert.match(getViolations('claim', 'process dies', ['claim']).join(), /ran 2 times/)
})

test('without the lease check a frozen VM acts on an outdated configuration', () => {
  // Guards against new work at a drained server.
  assert.deepEqual(getViolations('lookup', 'process frozen past its lease', []), [])
  assert.match(getViolations('lookup', 'process frozen past its lease', ['lease'])[0] ?? '', /acts on version/)
})

test('without the not-run record a late copy runs after its caller was answered not-run', () => {
  // Guards against an offer that is placed although its caller was answered not-run.
  assert.deepEqual(getViolations('claim', 'leader dies', []), [])
  assert.match(getViolations('claim', 'leader dies', ['recordNotRun'])[0] ?? '', /not-run/)
})

/**
 * Isolates one follower, kills the leader and restarts the other follower with its state changed by `restartFollower`. The two
 * followers must not elect a leader that lacks entries which the dead leader committed.
 */
function runLostEntryScenario (disabledGuards: readonly Guard[], restartFollower: (scene: Scene, name: string) => void): readonly string[] {
  const scene = buildScene(seed, disabledGuards)
  const { world } = scene
  startLoad(scene)
  runFor(scene, 2500)
  const leader = world.controls.find(isLeader)
  const [restarted, isolated] = world.controls.filter(control => control !== leader)
  if (leader === undefined || restarted === undefined || isolated === undefined) throw new Error('no leader')
  isolateHost(world.network, isolated.host, false)
  runFor(scene, 1500)
  killHost(leader.host)
  restartFollower(scene, restarted.vm)
  world.network.blockedLinks.clear()
  runFor(scene, 3000)
  restartHost(scene, leader.host)
  runFor(scene, 3000)
  return world.checks.violations
}

test('a control VM that lost its disk and keeps its identity causes the loss of committed entries', () => {
  // Guards against the loss of an accepted change.
  const loseDiskOf = (scene: Scene, name: string): void => {
    const control = scene.world.controls.find(model => model.vm === name)
    if (control !== undefined) loseDisk(scene, control)
  }
  assert.deepEqual(runLostEntryScenario([], loseDiskOf), [])
  assert.match(runLostEntryScenario(['newIncarnation'], loseDiskOf).join(), /committed another entry|went back|acts on version/)
})

test('a control VM that answers before its disk sync causes the loss of committed entries', () => {
  // Guards against the loss of an accepted change after a kill, without a lost disk.
  const restartProcess = (scene: Scene, name: string): void => {
    const control = scene.world.controls.find(model => model.vm === name)
    if (control === undefined) return
    killHost(control.host)
    restartHost(scene, control.host)
  }
  assert.deepEqual(runLostEntryScenario([], restartProcess), [])
  assert.match(runLostEntryScenario(['preSync'], restartProcess).join(), /committed another entry|went back|acts on version/)
})
