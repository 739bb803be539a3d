import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LynxError, brandId, isLynxError } from '@lynxcourse/base'
import type { RequestFingerprint, ServerId, ServiceId, TeamName } from '@lynxcourse/base'
import { createBashCompletion, createRestrictionRow, createTeamRow, diffProfiles, getExitCode, explainMatch, formatTable, createProgram, openSession } from '@lynxcourse/cli'
import { profileSchema } from '@lynxcourse/state'

test('errors are mapped to the exit codes in the help text', () => {
  const codes = (['badRequest', 'versionConflict', 'notFound', 'peerFailed'] as const).map(code => getExitCode(new LynxError(code, '')))
  assert.deepEqual(codes, [2, 3, 4, 1])
  assert.equal(getExitCode(new Error('x')), 1)
})

test('a table has a header line, and a dash for each missing value', () => {
  assert.equal(formatTable([{ a: 1, b: undefined }, { a: 'long', b: [2] }], ['a', 'b']), 'A     B\n1     -\nlong  [2]')
})

test('a diff lists the fields that differ', () => {
  const published = profileSchema.parse({ name: 'desk', places: ['kochi'] })
  const fileProfile = profileSchema.parse({ name: 'desk', places: ['kochi'], queueLimit: 7 })
  assert.deepEqual(diffProfiles(published, fileProfile), [{ field: 'queueLimit', published: 200, file: 7 }])
})

test('the completion script contains commands and their subcommands', () => {
  const script = createBashCompletion(createProgram())
  assert.match(script, /drain\) words="start list watch cancel"/)
  assert.match(script, /profile service drain shift/)
})

test('an invalid address is rejected with an error that contains it', () => {
  assert.throws(() => openSession({ addresses: '127.0.0.1:1,nowhere', output: 'table' }), /'nowhere' is no IPv4:port/)
})

test('a match contains the route, the shares of its services, and the less specific routes', () => {
  const [desk, ledger] = ['desk', 'ledger'].map(name => brandId<ServiceId>(name)) as [ServiceId, ServiceId]
  const common = { host: 'a.example', isIdempotent: true, timeoutMs: 1000, aimMs: 250, rank: 0, maxAttempts: 2, isSticky: false, homes: [], annotations: {} }
  const wide = { ...common, name: 'wide', pathPrefix: '/', service: desk, split: [] }
  const narrow = { ...common, name: 'narrow', pathPrefix: '/offers/', service: undefined, split: [{ service: desk, weight: 3 }, { service: ledger, weight: 1 }] }
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  const result = { routesVersion: 7, set: { routes: [wide, narrow], upstreams: [], limits } }
  const match = explainMatch(result, 'a.example:80', '/offers/7')
  assert.deepEqual([match['name'], match['services'], match['passedOver'], match['version']], ['narrow', 'desk=75%,ledger=25%', ['wide /'], 7])
  assert.throws(() => explainMatch(result, 'b.example', '/'), err => isLynxError(err, 'notFound'))
})

test('a restricted request is listed with the end of its block, if it is blocked', () => {
  const item = { kind: 'crashingRequest', key: brandId<RequestFingerprint>('f1'), route: 'read', state: 'blocked', servers: ['s1', 's2'].map(id => brandId<ServerId>(id)), blockedUntil: 1_800_000_000_000, failedTrials: 1 } as const
  assert.deepEqual(createRestrictionRow(item), { request: 'f1', route: 'read', state: 'blocked', blockedUntil: '2027-01-15T08:00:00.000Z', failedTrials: 1, servers: 's1,s2' })
  assert.equal(createRestrictionRow({ ...item, state: 'suspected', blockedUntil: 0 })['blockedUntil'], undefined)
})

test('a team is listed with its limit, if it has one, and the number of its keys', () => {
  const team = { name: brandId<TeamName>('a'), rank: 1, ratePerSecond: 0, burst: 5, homes: [], annotations: {}, keyCount: 2 }
  assert.deepEqual(createTeamRow(team), { name: 'a', keys: 2, rank: 1, ratePerSecond: undefined, burst: undefined, homes: '' })
  assert.equal(createTeamRow({ ...team, ratePerSecond: 3 })['ratePerSecond'], 3)
})
