import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { isLynxError } from '@lynxcourse/base'
import { parseSettings } from '@lynxcourse/daemon'
import { stringify } from 'yaml'
import { oneVmSettings } from './support/rig.js'

const seed = 37
console.log(`seed ${seed}`)

async function fieldOf (change: object): Promise<string | undefined> {
  const text = stringify({ ...await oneVmSettings('/tmp/x'), ...change })
  try {
    parseSettings(text, 'vm.yaml')
    return undefined
  } catch (err) {
    assert.ok(isLynxError(err, 'badSettings'))
    assert.match(err.message, /vm\.yaml/)
    return err.field
  }
}

test('sound settings are taken', async () => {
  assert.equal(await fieldOf({}), undefined)
})

test('an error names the file and the key', async () => {
  assert.equal(await fieldOf({ roles: ['king'] }), 'roles.0')
  assert.equal(await fieldOf({ colour: 'red' }), '')
  assert.equal(await fieldOf({ vm: 7 }), 'vm')
  assert.equal(await fieldOf({ listen: { http: '127.0.0.1:1', rpc: '127.0.0.1:1', metrics: '127.0.0.1:2' } }), 'listen')
  assert.equal(await fieldOf({ listen: { http: 'localhost:1', rpc: '127.0.0.1:1', metrics: '127.0.0.1:2' } }), 'listen.http')
  assert.equal(await fieldOf({ listen: { http: '192.0.2.1:1', rpc: '127.0.0.1:1', metrics: '127.0.0.1:2' } }), 'listen', 'only loopback without TLS')
  assert.equal(await fieldOf({ failureDomain: 'delhi-a' }), 'failureDomain')
  assert.equal(await fieldOf({ dataFolder: undefined }), 'dataFolder')
  assert.equal(await fieldOf({ times: { electionMs: 100, heartbeatMs: 100 } }), 'times.electionMs')
  assert.equal(await fieldOf({ limits: { maxBodyBytes: -1 } }), 'limits.maxBodyBytes')
})

test('any text is settings or a clear error', () => {
  fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), text => {
    try {
      parseSettings(text, 'x.yaml')
    } catch (err) {
      assert.ok(isLynxError(err, 'badSettings'))
    }
  }), { seed, numRuns: 200 })
})
