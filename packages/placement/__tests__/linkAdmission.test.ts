/** Which large answers a VM's link can deliver in time. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { computeDeliveryExcess, computeLargeAnswerRate, createLargeAnswerDemand, recordLargeAnswerSize } from '@lynxcourse/placement'

const deadlineMs = 4000
const answerBytes = 90_000
const rate = computeLargeAnswerRate(5.8)

// Guards against downloads that are all cut at their deadlines, since each of them was admitted to a link that can't carry all.
test('of a burst of large answers, those are admitted that the link delivers by their deadline', () => {
  const demand = createLargeAnswerDemand()
  recordLargeAnswerSize(demand, answerBytes)
  while (computeDeliveryExcess(demand, rate, deadlineMs) === 0) demand.inFlight += 1
  assert.ok(demand.inFlight >= 5, `${demand.inFlight} admitted`)
  assert.ok(demand.inFlight * answerBytes / rate <= deadlineMs, `${demand.inFlight} admitted`)
})

test('the next one fits after the time that a refused caller hears', () => {
  const demand = createLargeAnswerDemand()
  recordLargeAnswerSize(demand, answerBytes)
  demand.inFlight = 20
  const excessMs = computeDeliveryExcess(demand, rate, deadlineMs)
  demand.inFlight -= Math.ceil(excessMs * rate / answerBytes)
  assert.equal(computeDeliveryExcess(demand, rate, deadlineMs), 0)
})

test('nothing is refused before a size is known, or without a scarce link', () => {
  const demand = createLargeAnswerDemand()
  demand.inFlight = 1000
  assert.equal(computeDeliveryExcess(demand, rate, deadlineMs), 0)
  recordLargeAnswerSize(demand, answerBytes)
  assert.equal(computeDeliveryExcess(demand, computeLargeAnswerRate(1000), deadlineMs), 0)
})
