/** Reserves of permits at an entry VM, with issuers that the test controls. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { TeamName } from '@lynxcourse/base'
import { buildTeamTable } from '@lynxcourse/routing'
import { createTeam } from '@lynxcourse/state/testing'
import { addPermits } from '@lynxcourse/limits'
import { PermitChannel, createSilentLogs, getCurrentTime, createTeamPermits, maySendAgain, obtainPermit, refillReserves } from '@lynxcourse/daemon'
import type { PermitReply, PermitRequest, TeamPermits } from '@lynxcourse/daemon'

const bound = { windowMs: 5000, overage: 0.1, slack: 20 }
const teams = Array.from({ length: 40 }, (_, index) => brandId<TeamName>(`team-${index}`))
const limits = new Map(teams.map(team => [team, { ratePerSecond: 100, burst: 100 }]))
const inputs = { limits, bound, index: 0, count: 4 }

/** An issuer that grants everything and records what it was asked for. */
class RecordingChannel extends PermitChannel {
  readonly questions: PermitRequest[][] = []

  override listIssuers (): readonly string[] {
    return ['127.0.0.1:1']
  }

  override async ask (_address: string, requests: readonly PermitRequest[]): Promise<PermitReply> {
    this.questions.push([...requests])
    return { members: 5, teams: requests.map(({ team, wanted }) => ({ team, granted: wanted, retryAfterMs: 0 })) }
  }
}

async function refill (permits: TeamPermits, now: number): Promise<void> {
  refillReserves(permits, inputs, now)
  await new Promise(resolve => setImmediate(resolve))
}

/** Guards against reserves that use up all permits after a start, so that requests which wait for one are refused. */
test('reserves are refilled for a few teams at a time, and for all of them in turn', async () => {
  const channel = new RecordingChannel()
  const permits = createTeamPermits(channel, createSilentLogs())
  for (let tick = 0; tick < 12; tick++) await refill(permits, tick * 1000)
  assert.ok(channel.questions.every(requests => requests.length <= 5), 'few teams at a time')
  const asked = channel.questions.flat().map(({ team }) => team)
  assert.deepEqual(new Set(asked), new Set(teams))
  assert.equal(asked.length, teams.length, 'a full reserve is not asked for again')
})

/** Guards against a question before nearly every request. */
test('a request takes a permit in reserve without a question', async () => {
  const channel = new RecordingChannel()
  const permits = createTeamPermits(channel, createSilentLogs())
  for (let tick = 0; tick < 12; tick++) await refill(permits, tick * 1000)
  const before = channel.questions.length
  assert.equal((await obtainPermit(permits, teams[0] as TeamName, 20_000)).type, 'permit')
  assert.equal(channel.questions.length, before)
})

test('a request that finds no permit asks for one, and refills some reserves with the same question', async () => {
  const channel = new RecordingChannel()
  const permits = createTeamPermits(channel, createSilentLogs())
  await refill(permits, 0)
  await refill(permits, 1000)
  const team = teams.at(-1) as TeamName
  const before = channel.questions.length
  assert.equal((await obtainPermit(permits, team, getCurrentTime())).type, 'permit')
  const [question] = channel.questions.slice(before)
  assert.equal(channel.questions.length, before + 1)
  assert.equal(question?.[0]?.team, team)
  assert.equal(question?.length, 6)
})

/** Guards against a send that is given up for another one that then gets no permit. */
test('a request may move to another server only if its team has a permit left, or no limit', async () => {
  const [limited, open] = teams as [TeamName, TeamName]
  const table = buildTeamTable([createTeam(limited, [], { ratePerSecond: 5 }), createTeam(open, [])].map(team => ({ kind: 'team', key: team.name, team, keyDigests: [] })), true)
  const permits = createTeamPermits(new RecordingChannel(), createSilentLogs())
  const mayMove = (team: TeamName | undefined): boolean => maySendAgain({ teams: table, permits }, { team }, 0)
  assert.deepEqual([mayMove(limited), mayMove(open), mayMove(undefined)], [false, true, true])
  addPermits(permits.store, limited, 1, 0, 0)
  assert.equal(mayMove(limited), true)
})
