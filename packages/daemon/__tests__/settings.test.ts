import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { isLynxError } from '@lynxcourse/base'
import { parseAnySettings, parseSettings } from '@lynxcourse/daemon'
import { stringify } from 'yaml'
import { createSingleVmSettings } from './support/daemonFixture.js'

const seed = 37
console.log(`seed ${seed}`)

async function fieldOf (change: object): Promise<string | undefined> {
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

const fleetVm = {
  vm: 'entry-1',
  roles: ['entry'],
  region: 'kochi',
  failureDomain: 'kochi-a',
  regions: { kochi: ['kochi-a', 'kochi-b'], mumbai: ['mumbai-a'] },
  listen: { rpc: '127.0.1.2:7100', callers: '127.0.1.2:7000', metrics: '127.0.1.2:7200' },
  seeds: ['127.0.1.1:7100']
}

function fleetFieldOf (change: object, beside: object = {}): string | undefined {
  try {
    parseAnySettings(stringify({ fleet: { ...fleetVm, ...change }, ...beside }), 'vm.yaml')
    return undefined
  } catch (err) {
    assert.ok(isLynxError(err, 'badSettings'))
    assert.match(err.message, /vm\.yaml/)
    return err.field
  }
}

test('a fleet\'s settings: times left out keep their defaults, the RPC address is advertised as it is or as told', () => {
  const read = parseAnySettings(stringify({ fleet: { ...fleetVm, times: { missMs: 2500 }, advertisedRpc: '127.0.9.9:7100' } }), 'vm.yaml')
  assert.ok(read.kind === 'fleet')
  assert.deepEqual([read.cfg.times.missMs, read.cfg.times.watchMs], [2500, 1000])
  assert.deepEqual([read.cfg.rpc, read.cfg.rpcListen], ['127.0.9.9:7100', '127.0.1.2:7100'])
  assert.equal(read.cfg.regions.get('mumbai-a' as never), 'mumbai')
})

test('a fleet\'s settings: an error names the file and the key', () => {
  assert.equal(fleetFieldOf({}), undefined)
  assert.equal(fleetFieldOf({ roles: ['king'] }), 'fleet.roles.0')
  assert.equal(fleetFieldOf({ failureDomain: 'delhi-a' }), 'fleet.failureDomain')
  assert.equal(fleetFieldOf({ roles: ['control'] }), 'fleet.dataFolder')
  assert.equal(fleetFieldOf({ listen: { rpc: '127.0.1.2:7100', metrics: '127.0.1.2:7200' } }), 'fleet.listen.callers')
  assert.equal(fleetFieldOf({ listen: { ...fleetVm.listen, rpc: '192.0.2.1:7100' } }), 'fleet.listen')
  assert.equal(fleetFieldOf({ times: { watchMs: 0 } }), 'fleet.times.watchMs')
  assert.equal(fleetFieldOf({}, { colour: 'red' }), 'colour')
})
