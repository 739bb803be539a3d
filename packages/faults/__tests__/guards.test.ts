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
  // Symptom: a firm offer is booked twice. Sequence: a caller hands the same id to two VMs. Cause: both
  // send it, since neither asked the register first.
  assert.deepEqual(violationsOf('claim', 'process dies', []), [])
  assert.match(violationsOf('claim', 'process dies', ['claim']).join(), /ran 2 times/)
})

test('without the lease a frozen VM acts on old configuration', () => {
  // Symptom: work goes to a drained server. Sequence: a VM is frozen, changes are made, it wakes. Cause:
  // it acts before it has heard of them.
  assert.deepEqual(violationsOf('lookup', 'process frozen past its lease', []), [])
  assert.match(violationsOf('lookup', 'process frozen past its lease', ['lease'])[0] ?? '', /acts on version/)
})

test('without the record a late copy runs after not-run was told', () => {
  // Symptom: a caller heard not-run, yet the offer is lodged. Sequence: one VM refuses, a late copy
  // reaches another VM. Cause: the refusal was not recorded as the end of that id.
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
  // Symptom: an accepted change is gone. Sequence: a change is committed by leader and one follower; that
  // follower loses its disk, the leader dies, the other follower returns. Cause: the emptied follower
  // votes as if it still held what it acknowledged.
  const lose = (scene: Scene, name: string): void => {
    const control = scene.world.controls.find(model => model.vm === name)
    if (control !== undefined) loseDisk(scene, control)
  }
  assert.deepEqual(forget([], lose), [])
  assert.match(forget(['newIncarnation'], lose).join(), /committed another entry|went back|acts on version/)
})

test('a VM that answers before it synced lets committed entries be lost', () => {
  // Symptom: as above, without a lost disk. Sequence: the follower is killed after its answer left and
  // before its sync. Cause: the answer vouched for what was not on disk.
  const restart = (scene: Scene, name: string): void => {
    const control = scene.world.controls.find(model => model.vm === name)
    if (control === undefined) return
    killHost(control.host)
    restartHost(scene, control.host)
  }
  assert.deepEqual(forget([], restart), [])
  assert.match(forget(['preSync'], restart).join(), /committed another entry|went back|acts on version/)
})
