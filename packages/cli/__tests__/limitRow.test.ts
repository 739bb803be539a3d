/** Rows of `lynxcourse fleet limited`. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '@lynxcourse/base'
import type { ServerId } from '@lynxcourse/base'
import { createLimitRow } from '@lynxcourse/cli'

test('a limited server is listed with the shares of the VMs', () => {
  const row = createLimitRow({ server: brandId<ServerId>('s1'), perSecond: 4.5, shares: [['vm-1', 0.666], ['vm-2', 0.333]] })
  assert.deepEqual(row, { server: 's1', perSecond: 4.5, shares: 'vm-1=67%,vm-2=33%' })
})
