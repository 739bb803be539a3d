/** Permits that one control VM issues. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { TeamName, VmId } from '@lynxcourse/base'
import { createConfig, setItem } from '@lynxcourse/state'
import type { Config } from '@lynxcourse/state'
import { createTeam } from '@lynxcourse/state/testing'
import { createControlIssuer, issueTeamPermits, pruneTeamBuckets } from '@lynxcourse/daemon'
import type { ControlIssuer, TeamGrant } from '@lynxcourse/daemon'

const bound = { windowMs: 5000, overage: 0.1, slack: 20 }
const vms = ['a:1', 'b:1', 'c:1', 'd:1', 'e:1', 'f:1'].map(name => brandId<VmId>(name))
const team = brandId<TeamName>('team')

function setRate (config: Config, version: number, ratePerSecond: number): void {
  const item = createTeam(team, [], { ratePerSecond, burst: ratePerSecond })
  setItem(config, version, { kind: 'team', key: team, team: item, keyDigests: [] })
}

function ask (control: ControlIssuer, config: Config, wanted: number, now: number): TeamGrant {
  const { teams: [grant] } = issueTeamPermits(control, { env: { vm: vms[0] as VmId }, machine: { config } }, bound, [{ team, wanted }], 0, now)
  return grant as TeamGrant
}

/** Guards against control VMs that run out of processor time, and against a division that stays after what it depends on changed. */
test('a limit is divided once, and anew after each change of the limit or of the members', () => {
  const config = createConfig()
  setRate(config, 1, 600)
  const control: ControlIssuer = { ...createControlIssuer(0), vms }
  ask(control, config, 1, 1000)
  const first = control.divisions.get(team)
  ask(control, config, 1, 2000)
  assert.equal(control.divisions.get(team), first)
  setRate(config, 2, 60)
  assert.ok(ask(control, config, 1000, 3000).granted <= 20, 'a lower limit binds at once')
  assert.equal(control.divisions.get(team)?.plan.tokensPerSecond, 10)
  control.vms = vms.slice(0, 3)
  assert.deepEqual(ask(control, config, 1000, 3000).issuers, vms.slice(0, 3))
  assert.equal(control.divisions.get(team)?.plan.tokensPerSecond, 20)
  pruneTeamBuckets(control, { env: { vm: vms[0] as VmId }, machine: { config: createConfig() } }, 4000)
  assert.equal(control.divisions.size, 0)
})
