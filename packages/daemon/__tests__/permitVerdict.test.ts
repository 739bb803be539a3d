/** What requests of limited teams hear when issuers are empty, late or unreachable; the test controls the issuers. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { Millis, TeamName } from '@lynxcourse/base'
import { hasPermit, permitTtlMs, setMaxReserved } from '@lynxcourse/limits'
import { PermitChannel, createSilentLogs, createTeamPermits, delay, getCurrentTime, mayObtainPermit, obtainPermit } from '@lynxcourse/daemon'
import type { PermitReply, PermitRequest, PermitResult, TeamPermits } from '@lynxcourse/daemon'

const team = brandId<TeamName>('team')
const other = brandId<TeamName>('other')
const issuers = ['a', 'b']

type Answer = 'grant' | 'empty' | 'fail' | { readonly grantAfterMs: Millis }

/** Issuers that answer as the test says. */
class ScriptedChannel extends PermitChannel {
  readonly questions: Array<{ readonly address: string, readonly teams: readonly TeamName[] }> = []
  answers: Record<string, Answer>

  constructor (answers: Record<string, Answer>) {
    super()
    this.answers = answers
  }

  override listIssuers (): readonly string[] {
    return issuers
  }

  override async ask (address: string, requests: readonly PermitRequest[]): Promise<PermitReply> {
    this.questions.push({ address, teams: requests.map(request => request.team) })
    const answer = this.answers[address]
    if (answer === 'fail') throw new Error('no answer')
    if (typeof answer === 'object') await delay(answer.grantAfterMs)
    const teams = requests.map(request => answer === 'empty' ? { team: request.team, granted: 0, retryAfterMs: 150, issuers } : { team: request.team, granted: request.wanted, retryAfterMs: 0 })
    return { members: issuers.length, teams }
  }
}

function start (answers: Record<string, Answer>): { readonly channel: ScriptedChannel, readonly permits: TeamPermits } {
  const channel = new ScriptedChannel(answers)
  return { channel, permits: createTeamPermits(channel, createSilentLogs(), () => 0.5) }
}

async function obtain (permits: TeamPermits, name = team, leftMs: Millis = 5000): Promise<PermitResult> {
  const now = getCurrentTime()
  return await obtainPermit(permits, name, now, now + leftMs)
}

function getReason (result: PermitResult): string {
  return result.type === 'refuse' ? result.reason : result.type
}

/** Guards against 429 for a team below its rate while the issuer that holds part of its share can't be reached. */
test('a team is over its rate only if all issuers were asked and are empty', async () => {
  assert.equal(getReason(await obtain(start({ a: 'empty', b: 'empty' }).permits)), 'overRate')
  const { permits } = start({ a: 'empty', b: 'fail' })
  const startedAt = getCurrentTime()
  const result = await obtain(permits, team, 400)
  assert.equal(getReason(result), 'noPermits')
  const waitedMs = getCurrentTime() - startedAt
  assert.ok(waitedMs >= 200 && waitedMs < 400, `waited ${waitedMs} ms of 400`)
  assert.ok(result.type === 'refuse' && result.retryAfterMs >= 500)
})

/** Guards against requests that are refused although their deadline leaves time until an issuer has permits again. */
test('a request waits for another issuer, and for one that was empty, while an issuer can not be reached', async () => {
  const { channel, permits } = start({ a: 'empty', b: 'fail' })
  const result = obtain(permits)
  await delay(150)
  channel.answers = { a: 'grant', b: 'fail' }
  assert.equal((await result).type, 'permit')
})

/** Guards against requests that wait for a frozen issuer until its question is given up. */
test('a late issuer is not waited for, and the one that answers is asked alone for what comes after', async () => {
  const { channel, permits } = start({ a: { grantAfterMs: 1000 }, b: 'grant' })
  const startedAt = getCurrentTime()
  assert.equal((await obtain(permits)).type, 'permit')
  assert.ok(getCurrentTime() - startedAt < 350, 'asked the next issuer')
  assert.equal((await obtain(permits)).type, 'permit')
  assert.equal(channel.questions.filter(({ address }) => address === 'a').length, 1)
})

/** Guards against a question for each team and request. */
test('one request is asked for at once, and those of several teams soon after with one question', async () => {
  const { channel, permits } = start({ a: 'grant', b: 'grant' })
  assert.equal((await obtain(permits)).type, 'permit')
  const results = await Promise.all([obtain(permits), obtain(permits, other), obtain(permits)])
  assert.ok(results.every(({ type }) => type === 'permit'))
  assert.deepEqual(channel.questions, [{ address: 'a', teams: [team] }, { address: 'a', teams: [team, other] }])
})

/** Guards against a window that contains more than its bound, since reserves hold permits that were issued long before. */
test('permits of an answer that took longer than their lifetime are not used', async () => {
  const { permits } = start({ a: { grantAfterMs: permitTtlMs + 50 }, b: 'fail' })
  setMaxReserved(permits.store, team, 5, getCurrentTime())
  assert.equal(getReason(await obtain(permits, team, 300)), 'noPermits')
  await delay(permitTtlMs + 100)
  assert.equal(hasPermit(permits.store, team, getCurrentTime()), false)
})

/** Guards against requests of small teams that stay with a frozen server, and against moves to another one that get no permit. */
test('a request may move to another server if an issuer granted permits and is not empty or late', async () => {
  const { channel, permits } = start({ a: 'grant', b: 'grant' })
  assert.equal(mayObtainPermit(permits, team, getCurrentTime()), false, 'no issuer answered yet')
  assert.equal((await obtain(permits)).type, 'permit')
  assert.equal(hasPermit(permits.store, team, getCurrentTime()), false)
  assert.equal(mayObtainPermit(permits, team, getCurrentTime()), true)
  channel.answers = { a: 'empty', b: 'grant' }
  assert.equal((await obtain(permits)).type, 'permit')
  assert.equal(mayObtainPermit(permits, team, getCurrentTime()), false, 'an issuer is empty')
  channel.answers = { a: 'fail', b: 'fail' }
  assert.equal(getReason(await obtain(permits, team, 1000)), 'noPermits')
  assert.equal(mayObtainPermit(permits, team, getCurrentTime()), false, 'no issuer answers')
})
