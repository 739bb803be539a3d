/** Calls between control VMs that wait for a commit. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { ServerId } from '@lynxcourse/base'
import { dismissServer, isLeading, readRoutes } from '@lynxcourse/daemon'
import type { FleetControl } from '@lynxcourse/daemon'
import { createReplaceRoutesCommand, createRouteToDesk, getControl, startFleetFixture, submitCommand } from './support/fleetFixture.js'

/** More calls than a VM has connections to another one. */
const callCount = 24

const kinds: Record<string, (control: FleetControl, index: number) => Promise<unknown>> = {
  reads: async control => await readRoutes(control),
  changes: async (control, index) => await dismissServer(control, brandId<ServerId>(`${control.host.id}-${index}`))
}

for (const [kind, call] of Object.entries(kinds)) {
  // Guards against a leader that loses its leadership since the answers to its messages wait for connections behind calls that wait for them.
  test(`many ${kind} at once by control VMs that don't lead are all answered, and the leader stays`, async () => {
    await using fixture = await startFleetFixture(0)
    await submitCommand(fixture, createReplaceRoutesCommand('first', 0, 1, [createRouteToDesk('read')]))
    const controls = fixture.daemons.map((_, index) => getControl(fixture, index))
    const leader = controls.find(({ host }) => isLeading(host)) as FleetControl
    const term = leader.host.replica?.term
    const followers = controls.filter(control => control !== leader)
    await Promise.all(followers.flatMap(control => Array.from({ length: callCount }, async (_, index) => await call(control, index))))
    assert.equal(leader.host.replica?.term, term)
    assert.ok(isLeading(leader.host))
  })
}
