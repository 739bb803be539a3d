/** The choice of the issuer that is asked for permits. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { beginQuestion, createTeamIssuers, endQuestion, estimateRefillTime, failQuestion, isLate, isOverRate, recordIssuerAnswer, recordIssuerFailure, selectIssuer } from '@lynxcourse/limits'
import type { IssuerHealth } from '@lynxcourse/limits'

const nearest = ['near', 'far', 'other']
const none = new Set<string>()
const middle = (): number => 0.5

/** Guards against requests that wait each second for a control VM that is frozen or cut off. */
test('the nearest issuer is asked first, and the next one while it is empty or does not answer', () => {
  const team = createTeamIssuers()
  const health: IssuerHealth = new Map()
  assert.equal(selectIssuer(team, health, nearest, none, 0), 'near')
  recordIssuerAnswer(team, 'near', ['far', 'remote'], 0, 0)
  assert.equal(selectIssuer(team, health, nearest, none, 0), 'far', 'near is no issuer of the team')
  recordIssuerAnswer(team, 'far', ['far', 'remote'], 500, 0)
  assert.equal(selectIssuer(team, health, nearest, none, 100), 'remote', 'far is empty')
  failQuestion(health, 'remote', middle, 100)
  assert.equal(selectIssuer(team, health, nearest, none, 100), undefined)
  assert.equal(selectIssuer(team, health, nearest, none, 500), 'far')
  assert.equal(selectIssuer(team, health, nearest, new Set(['far']), 349), undefined, 'remote failed a short time ago')
  assert.equal(selectIssuer(team, health, nearest, new Set(['far']), 350), 'remote')
  for (let failure = 0; failure < 8; failure++) failQuestion(health, 'remote', middle, 1000)
  assert.equal(selectIssuer(team, health, nearest, new Set(['far']), 4999), undefined, 'remote failed again and again')
  assert.equal(selectIssuer(team, health, nearest, new Set(['far']), 5000), 'remote')
})

/** Guards against a busy group of control VMs that is left alone for seconds because each answered late once. */
test('if no issuer answers, each is asked again soon, as none is better than the others', () => {
  const team = createTeamIssuers()
  const health: IssuerHealth = new Map()
  for (const address of nearest) for (let failure = 0; failure < 8; failure++) failQuestion(health, address, middle, 0)
  assert.equal(selectIssuer(team, health, nearest, none, 249), undefined)
  assert.equal(selectIssuer(team, health, nearest, none, 250), 'near')
  endQuestion(health, 'other', 300)
  assert.equal(selectIssuer(team, health, nearest, none, 300), 'other')
  assert.equal(selectIssuer(team, health, nearest, new Set(['other']), 300), undefined)
})

/** Guards against an issuer in another region that counts as failed since it answers later than one nearby. */
test('an answer is late if it takes longer than the answers of the same issuer before it', () => {
  const health: IssuerHealth = new Map()
  for (let at = 0; at < 20_000; at += 1000) {
    beginQuestion(health, 'far', at)
    endQuestion(health, 'far', at + 70)
    beginQuestion(health, 'near', at)
    endQuestion(health, 'near', at + 2)
  }
  beginQuestion(health, 'far', 20_000)
  beginQuestion(health, 'near', 20_000)
  assert.deepEqual([isLate(health, 'near', 20_030), isLate(health, 'near', 20_050)], [false, true])
  assert.deepEqual([isLate(health, 'far', 20_069), isLate(health, 'far', 20_250)], [false, true])
  assert.equal(selectIssuer(createTeamIssuers(), health, ['near', 'far'], none, 20_050), 'far')
})

/** Guards against a team that hears that it is over its rate though issuers with its share were not reached. */
test('a team is over its rate only if all of its issuers were asked and are empty', () => {
  const team = createTeamIssuers()
  assert.equal(isOverRate(team, none, 0), false)
  recordIssuerAnswer(team, 'near', ['near', 'far'], 300, 0)
  assert.equal(isOverRate(team, none, 0), false, 'far was not asked')
  recordIssuerAnswer(team, 'far', ['near', 'far'], 200, 0)
  assert.equal(isOverRate(team, none, 50), true)
  assert.equal(isOverRate(team, none, 200), false, 'far may have a permit again')
  assert.equal(isOverRate(team, new Set(['far']), 200), true, 'far had none for the requests that wait')
  recordIssuerFailure(team, 'near')
  assert.equal(isOverRate(team, new Set(['far']), 200), false, 'whether near is empty is not known')
})

/** Guards against callers that return at once, or late, because their retry time is not when a permit can be expected. */
test('the refill time is that of the first issuer that has a permit again or is asked again', () => {
  const team = createTeamIssuers()
  const health: IssuerHealth = new Map()
  recordIssuerAnswer(team, 'near', ['near', 'far'], 300, 0)
  recordIssuerAnswer(team, 'far', ['near', 'far'], 150, 0)
  assert.equal(estimateRefillTime(team, health, nearest, 50), 100)
  assert.equal(estimateRefillTime(team, health, nearest, 200), 0)
  for (let failure = 0; failure < 3; failure++) failQuestion(health, 'far', middle, 100)
  assert.equal(estimateRefillTime(team, health, nearest, 100), 200, 'near is expected before far is asked again')
})

test('an issuer that granted all permits need not name the issuers', () => {
  const team = createTeamIssuers()
  recordIssuerAnswer(team, 'near', undefined, 0, 0)
  assert.equal(selectIssuer(team, new Map(), nearest, none, 0), 'near')
})
