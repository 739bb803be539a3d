/** The notices of all servers that one VM has heard of. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { ServerId } from '@lynxcourse/base'
import { createServerNotice, getNotice, getRequestDelay, noStatements, permitsRequest, pruneNotices, recordNamedLimit, recordStatements } from '@lynxcourse/limits'
import type { ServerNotices } from '@lynxcourse/limits'

const server = brandId<ServerId>('s1')
const bornAt = 7
const leaving = { ...noStatements, leaving: { type: 'leaving' } } as const
const pause = { ...noStatements, pause: { type: 'paused', forMs: 3000 } } as const

/** Guards against a server that gets requests again because the directory lost it for a moment. */
test('a notice outlives a server that is not listed for a while', () => {
  const notices: ServerNotices = new Map()
  recordStatements(getNotice(notices, server, bornAt, 1000), pause, 1000)
  pruneNotices(notices, 2000)
  assert.ok(!permitsRequest(getNotice(notices, server, bornAt, 2500), 1, 2500))
  recordStatements(getNotice(notices, server, bornAt, 2500), leaving, 2500)
  pruneNotices(notices, 300_000)
  assert.ok(getNotice(notices, server, bornAt, 300_000).isLeaving)
})

/** Guards against a new process that is left alone because of what the one before it said. */
test('another process under the same id has said nothing', () => {
  const notices: ServerNotices = new Map()
  recordStatements(getNotice(notices, server, bornAt, 1000), leaving, 1000)
  assert.ok(permitsRequest(getNotice(notices, server, bornAt + 1, 1100), 1, 1100))
})

/** Guards against a table that grows with every server that ever was. */
test('servers that are not listed are forgotten when nothing that they said holds, or after ten minutes', () => {
  const notices: ServerNotices = new Map()
  for (let index = 0; index < 1000; index++) getNotice(notices, brandId<ServerId>(`quiet-${index}`), bornAt, 0)
  recordStatements(getNotice(notices, server, bornAt, 0), leaving, 0)
  recordStatements(getNotice(notices, brandId<ServerId>('s2'), bornAt, 0), pause, 0)
  pruneNotices(notices, 0)
  assert.equal(notices.size, 1002, 'listed servers are kept')
  pruneNotices(notices, 1)
  assert.deepEqual([...notices.keys()], ['s1', 's2'])
  pruneNotices(notices, 3000)
  assert.deepEqual([...notices.keys()], ['s1'])
  pruneNotices(notices, 600_001)
  assert.equal(notices.size, 0)
})

test('the time until a request may be sent is the longer one of the pause and the limit', () => {
  const notice = createServerNotice()
  assert.equal(getRequestDelay(notice, 1, 1000), 0)
  recordStatements(notice, pause, 1000)
  assert.equal(getRequestDelay(notice, 1, 1500), 2500)
  recordNamedLimit(notice.limit, { type: 'limited', perSecond: 0.1 }, 1500)
  notice.limit.refilledAt = 1500
  assert.equal(getRequestDelay(notice, 1, 1500), 10_000)
  recordStatements(notice, leaving, 1500)
  assert.equal(getRequestDelay(notice, 1, 1500), Infinity)
})
