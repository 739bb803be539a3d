import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { isLynxError } from '@lynxcourse/base'
import { parseAnySettings, parseSettings } from '@lynxcourse/daemon'
import { stringify } from 'yaml'
import { createSingleVmSettings } from './support/daemonFixture.js'

const seed = 37
console.log(`seed ${seed}`)

/** Returns the field that the error for these settings names; undefined if the settings are valid. */
async function getInvalidField (change: object): Promise<string | undefined> {
  const text = stringify({ ...await createSingleVmSettings('/tmp/x'), ...change })
  try {
    parseSettings(text, 'vm.yaml')
    return undefined
  } catch (err) {
    assert.ok(isLynxError(err, 'badSettings'))
    assert.match(err.message, /vm\.yaml/)
    return err.field
  }
}

test('valid settings are accepted', async () => {
  assert.equal(await getInvalidField({}), undefined)
})

test('an error names the file and the key', async () => {
  assert.equal(await getInvalidField({ roles: ['king'] }), 'roles.0')
  assert.equal(await getInvalidField({ colour: 'red' }), '')
  assert.equal(await getInvalidField({ vm: 7 }), 'vm')
  assert.equal(await getInvalidField({ listen: { http: '127.0.0.1:1', rpc: '127.0.0.1:1', metrics: '127.0.0.1:2' } }), 'listen')
  assert.equal(await getInvalidField({ listen: { http: 'localhost:1', rpc: '127.0.0.1:1', metrics: '127.0.0.1:2' } }), 'listen.http')
  assert.equal(await getInvalidField({ listen: { http: '192.0.2.1:1', rpc: '127.0.0.1:1', metrics: '127.0.0.1:2' } }), 'listen', 'only loopback without TLS')
  assert.equal(await getInvalidField({ failureDomain: 'delhi-a' }), 'failureDomain')
  assert.equal(await getInvalidField({ dataFolder: undefined }), 'dataFolder')
  assert.equal(await getInvalidField({ times: { electionMs: 100, heartbeatMs: 100 } }), 'times.electionMs')
  assert.equal(await getInvalidField({ limits: { maxBodyBytes: -1 } }), 'limits.maxBodyBytes')
})

test('any text is either valid settings or fails with LynxError badSettings', () => {
  fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), text => {
    try {
      parseSettings(text, 'x.yaml')
    } catch (err) {
      assert.ok(isLynxError(err, 'badSettings'))
    }
  }), { seed, numRuns: 200 })
})

const fleetVm = {
  vm: 'entry-1',
  roles: ['entry'],
  region: 'kochi',
  failureDomain: 'kochi-a',
  regions: { kochi: ['kochi-a', 'kochi-b'], mumbai: ['mumbai-a'] },
  listen: { rpc: '127.0.1.2:7100', callers: '127.0.1.2:7000', metrics: '127.0.1.2:7200' },
  seeds: ['127.0.1.1:7100']
}

function getInvalidFleetField (change: object, topLevelKeys: object = {}): string | undefined {
  try {
    parseAnySettings(stringify({ fleet: { ...fleetVm, ...change }, ...topLevelKeys }), 'vm.yaml')
    return undefined
  } catch (err) {
    assert.ok(isLynxError(err, 'badSettings'))
    assert.match(err.message, /vm\.yaml/)
    return err.field
  }
}

test('a fleet\'s settings: omitted times have default values, and the advertised RPC address may differ from the listen address', () => {
  const settings = parseAnySettings(stringify({ fleet: { ...fleetVm, times: { missMs: 2500 }, advertisedRpc: '127.0.9.9:7100' } }), 'vm.yaml')
  assert.ok(settings.kind === 'fleet')
  assert.deepEqual([settings.cfg.times.missMs, settings.cfg.times.watchMs], [2500, 1000])
  assert.deepEqual([settings.cfg.rpc, settings.cfg.rpcListen], ['127.0.9.9:7100', '127.0.1.2:7100'])
  assert.equal(settings.cfg.regions.get('mumbai-a' as never), 'mumbai')
})

test('a fleet\'s settings: an error names the file and the key', () => {
  assert.equal(getInvalidFleetField({}), undefined)
  assert.equal(getInvalidFleetField({ roles: ['king'] }), 'fleet.roles.0')
  assert.equal(getInvalidFleetField({ failureDomain: 'delhi-a' }), 'fleet.failureDomain')
  assert.equal(getInvalidFleetField({ roles: ['control'] }), 'fleet.dataFolder')
  assert.equal(getInvalidFleetField({ listen: { rpc: '127.0.1.2:7100', metrics: '127.0.1.2:7200' } }), 'fleet.listen.callers')
  assert.equal(getInvalidFleetField({ listen: { ...fleetVm.listen, rpc: '192.0.2.1:7100' } }), 'fleet.listen')
  assert.equal(getInvalidFleetField({ times: { watchMs: 0 } }), 'fleet.times.watchMs')
  assert.equal(getInvalidFleetField({}, { colour: 'red' }), 'colour')
})
