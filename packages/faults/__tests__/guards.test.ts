/** Each check is shown to be able to fail: a guard is taken out, and the matrix turns red. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { buildScene, cutOff, killHost, leadsNow, loseDisk, restartHost, runCell, runFor, startLoad } from '@lynxcourse/faults'
import type { Guard, Scene, Step } from '@lynxcourse/faults'

const seed = 1

function violationsOf (step: Step, fault: string, without: readonly Guard[]): readonly string[] {
  return runCell({ step, faults: [fault] }, seed, without).violations
}

test('without claims a resent request runs twice', () => {
  // Guards against this failure: a firm offer is booked twice.
  assert.deepEqual(violationsOf('claim', 'process dies', []), [])
  assert.match(violationsOf('claim', 'process dies', ['claim']).join(), /ran 2 times/)
})

test('without the lease a frozen VM acts on old configuration', () => {
  // Guards against this failure: work goes to a drained server.
  assert.deepEqual(violationsOf('lookup', 'process frozen past its lease', []), [])
  assert.match(violationsOf('lookup', 'process frozen past its lease', ['lease'])[0] ?? '', /acts on version/)
})

test('without the record a late copy runs after not-run was told', () => {
  // Guards against this failure: a caller heard not-run, yet the offer is lodged.
  assert.deepEqual(violationsOf('claim', 'leader dies', []), [])
  assert.match(violationsOf('claim', 'leader dies', ['recordNotRun'])[0] ?? '', /not-run/)
})

/** One follower lags, the other forgets, and the leader dies: whoever is left must not go on alone. */
function forget (without: readonly Guard[], howToForget: (scene: Scene, name: string) => void): readonly string[] {
  const scene = buildScene(seed, without)
  const { world } = scene
  startLoad(scene)
  runFor(scene, 2500)
  const leader = world.controls.find(leadsNow)
  const [forgetful, lagging] = world.controls.filter(control => control !== leader)
  if (leader === undefined || forgetful === undefined || lagging === undefined) throw new Error('no leader')
  cutOff(world.network, lagging.host, false)
  runFor(scene, 1500)
  killHost(leader.host)
  howToForget(scene, forgetful.vm)
  world.network.cuts.clear()
  runFor(scene, 3000)
  restartHost(scene, leader.host)
  runFor(scene, 3000)
  return world.checks.violations
}

test('a VM that lost its disk and kept its identity lets committed entries be lost', () => {
  // Guards against this failure: an accepted change is gone.
  const lose = (scene: Scene, name: string): void => {
    const control = scene.world.controls.find(model => model.vm === name)
    if (control !== undefined) loseDisk(scene, control)
  }
  assert.deepEqual(forget([], lose), [])
  assert.match(forget(['newIncarnation'], lose).join(), /committed another entry|went back|acts on version/)
})

test('a VM that answers before it synced lets committed entries be lost', () => {
  // Guards against this failure: an accepted change is gone after a kill, without a lost disk.
  const restart = (scene: Scene, name: string): void => {
    const control = scene.world.controls.find(model => model.vm === name)
    if (control === undefined) return
    killHost(control.host)
    restartHost(scene, control.host)
  }
  assert.deepEqual(forget([], restart), [])
  assert.match(forget(['preSync'], restart).join(), /committed another entry|went back|acts on version/)
})
