/** Tests that the ranking of the entry VMs for a server is computed once for each list of VMs. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { rankByHash } from '@lynxcourse/base'
import { isWarmingVm, placeRequest, warmingVmCount } from '@lynxcourse/placement'
import { createTestFleet, request, server } from './support/fleet.js'

/** Creates a list of VMs that counts how often all of its names are read. */
function createCountedVms (count: number): { readonly vms: readonly string[], readonly reads: () => number } {
  const names = Array.from({ length: count }, (_, index) => `vm-${index + 1}`)
  let readCount = 0
  const vms = new Proxy(names, {
    get: (target, property, receiver) => {
      if (property === String(count - 1)) readCount += 1
      return Reflect.get(target, property, receiver) as unknown
    }
  })
  return { vms, reads: () => readCount }
}

/** Guards against this failure: while servers are cold, each check of a waiting request hashes all names of VMs for each of them. */
test('choosing among cold servers ranks the VMs once for each server, however many requests there are', () => {
  const servers = ['a', 'b', 'c'].map(id => server(id))
  for (const cold of servers) cold.coldUntil = 5000
  const fleet = createTestFleet(...servers)
  const { vms, reads } = createCountedVms(56)
  fleet.vms = vms
  for (let index = 0; index < 20; index++) placeRequest(fleet, request({ object: `read|${index}` }), 1000)
  assert.equal(reads(), servers.length)
})

test('a changed list of VMs changes which of them warm a server', () => {
  const cold = server('cold')
  for (const vms of [['a', 'b', 'c', 'd', 'e', 'f'], ['b', 'd', 'e', 'f', 'g', 'h']]) {
    const warming = vms.filter(vm => isWarmingVm(cold, vm, vms))
    assert.deepEqual(new Set(warming), new Set(rankByHash('cold', vms).slice(0, warmingVmCount)))
  }
})
