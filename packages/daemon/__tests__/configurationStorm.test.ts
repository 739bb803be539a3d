/** Many configurations within a short time. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay, getCurrentTime, submitFleetCommand } from '@lynxcourse/daemon'
import type { FleetDaemon } from '@lynxcourse/daemon'
import type { ChangeAnswer, RouteCommand } from '@lynxcourse/state'
import { findRouteSet, getRoutesVersion } from '@lynxcourse/state'
import { createReplaceRoutesCommand, createRouteToDesk, getControl, keepAnnouncing, publishRoutes, sendRequest, startFleetFixture, startTestServer, waitUntil } from './support/fleetFixture.js'
import type { FleetFixture } from './support/fleetFixture.js'

const controlCount = 3
const changeCount = 40
const intervalsMs = [60, 330]
/** Time in which a control VM confirms a valid order. */
const confirmMs = 5000
/** Least time between two changes that an entry VM applies. */
const changeDelayMs = 200

/** Sends a command as operators do: first to one control VM, and again to the next ones while the outcome is unknown. */
async function submitUntilAnswered (fixture: FleetFixture, firstControl: number, command: RouteCommand): Promise<ChangeAnswer> {
  let answer: ChangeAnswer | undefined
  let control = firstControl
  await waitUntil(async () => {
    answer = await submitFleetCommand(getControl(fixture, control++ % controlCount), command).catch(() => undefined)
    return answer !== undefined
  })
  return answer as ChangeAnswer
}

/** Guards against configurations that are refused or reordered, and against VMs that spend their processor time on each of them. */
test('configurations in quick succession are confirmed in order by any control VM, and entry VMs apply several at once', async () => {
  await using fixture = await startFleetFixture(1, { controlCount })
  await using server = await startTestServer('s1', (_req, res) => res.end('ok'))
  const kept = createRouteToDesk('read')
  await publishRoutes(fixture, [server], [kept])
  const announcing = keepAnnouncing(fixture, [server])
  const entry = fixture.daemons.at(-1) as FleetDaemon
  const applied: number[] = []
  entry.node.onChange.push(() => applied.push(getRoutesVersion(entry.node.config)))
  const startedAt = getCurrentTime()
  let slowestMs = 0
  const statuses: number[] = []
  for (let change = 2; change <= changeCount; change++) {
    const sentAt = getCurrentTime()
    const command = createReplaceRoutesCommand(`change-${change}`, change - 1, change, [kept, createRouteToDesk(`extra-${change}`)])
    assert.equal((await submitUntilAnswered(fixture, change, command)).ok, true, `change ${change}`)
    slowestMs = Math.max(slowestMs, getCurrentTime() - sentAt)
    statuses.push((await sendRequest(fixture, '/read/1')).status)
    await delay((intervalsMs[change < changeCount / 2 ? 0 : 1] as number) - (getCurrentTime() - sentAt))
  }
  await waitUntil(() => getRoutesVersion(entry.node.config) === changeCount)
  assert.ok(slowestMs < confirmMs, `a change took ${slowestMs} ms`)
  assert.ok(findRouteSet(entry.node.config)?.routes.some(({ name }) => name === `extra-${changeCount}`))
  assert.deepEqual(applied, applied.toSorted((a, b) => a - b), 'in order')
  const maxApplied = (getCurrentTime() - startedAt) / changeDelayMs + 2
  assert.ok(applied.length <= maxApplied, `${applied.length} changes applied, at most ${Math.round(maxApplied)} expected`)
  assert.deepEqual(statuses.filter(status => status !== 200), [])
  announcing[Symbol.dispose]()
})

/** Guards against two operators whose changes of the same version are both confirmed, or both refused. */
test('of two changes of the same version, one is confirmed, and the other is refused as a conflict', async () => {
  await using fixture = await startFleetFixture(0, { controlCount })
  await submitUntilAnswered(fixture, 0, createReplaceRoutesCommand('first', 0, 1, [createRouteToDesk('read')]))
  for (let round = 1; round <= 5; round++) {
    const answers = await Promise.all(['a', 'b'].map(async (operator, index) =>
      await submitUntilAnswered(fixture, round + index, createReplaceRoutesCommand(`${operator}-${round}`, round, round + 1, [createRouteToDesk(operator)]))))
    assert.deepEqual(answers.map(({ ok }) => ok).sort(), [false, true])
    assert.ok(answers.every(answer => answer.ok || answer.code === 'versionConflict'))
  }
})
