import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LynxError, brandId, isLynxError } from '@lynxcourse/base'
import type { ServiceId } from '@lynxcourse/base'
import { bashCompletion, diffProfiles, exitCodeOf, explainMatch, formatTable, makeProgram, openSession } from '@lynxcourse/cli'
import { profileSchema } from '@lynxcourse/state'

test('errors have the exit codes that the help names', () => {
  const codes = (['badRequest', 'versionConflict', 'notFound', 'peerFailed'] as const).map(code => exitCodeOf(new LynxError(code, '')))
  assert.deepEqual(codes, [2, 3, 4, 1])
  assert.equal(exitCodeOf(new Error('x')), 1)
})

test('a table has a head, and a dash for what is missing', () => {
  assert.equal(formatTable([{ a: 1, b: undefined }, { a: 'long', b: [2] }], ['a', 'b']), 'A     B\n1     -\nlong  [2]')
})

test('a diff names the fields that differ', () => {
  const published = profileSchema.parse({ name: 'desk', places: ['kochi'] })
  const wanted = profileSchema.parse({ name: 'desk', places: ['kochi'], queueLimit: 7 })
  assert.deepEqual(diffProfiles(published, wanted), [{ field: 'queueLimit', published: 200, file: 7 }])
})

test('completion knows commands and their subcommands', () => {
  const script = bashCompletion(makeProgram())
  assert.match(script, /drain\) words="start list watch cancel"/)
  assert.match(script, /profile service drain shift/)
})

test('an address that is none is refused with its name', () => {
  assert.throws(() => openSession({ addresses: '127.0.0.1:1,nowhere', output: 'table' }), /'nowhere' is no IPv4:port/)
})

test('a match names the route, its shares, and what fits less well', () => {
  const [desk, ledger] = ['desk', 'ledger'].map(name => brandId<ServiceId>(name)) as [ServiceId, ServiceId]
  const common = { host: 'a.example', isIdempotent: true, timeoutMs: 1000, aimMs: 250, rank: 0, maxAttempts: 2, isSticky: false, homes: [], annotations: {} }
  const wide = { ...common, name: 'wide', pathPrefix: '/', service: desk, split: [] }
  const narrow = { ...common, name: 'narrow', pathPrefix: '/offers/', service: undefined, split: [{ service: desk, weight: 3 }, { service: ledger, weight: 1 }] }
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  const read = { routesVersion: 7, set: { routes: [wide, narrow], upstreams: [], limits } }
  const match = explainMatch(read, 'a.example:80', '/offers/7')
  assert.deepEqual([match['name'], match['services'], match['passedOver'], match['version']], ['narrow', 'desk=75%,ledger=25%', ['wide /'], 7])
  assert.throws(() => explainMatch(read, 'b.example', '/'), err => isLynxError(err, 'notFound'))
})
