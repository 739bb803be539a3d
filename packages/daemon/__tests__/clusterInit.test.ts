/** The initialization of a cluster, one control VM after the other. */
import assert from 'node:assert/strict'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { isLynxError } from '@lynxcourse/base'
import { callPeer, createRpcClient, createResourceStack, addResource, createSilentLogs, settingsSchema, startDaemon } from '@lynxcourse/daemon'
import type { SettingsInput } from '@lynxcourse/daemon'
import { createSingleVmSettings, testSeed, testTimes, waitForEvent } from './support/daemonFixture.js'

interface ClusterInfo { readonly id: string, readonly cluster: string | undefined }
interface Status { readonly current: boolean }

const vms = ['vm-1', 'vm-2', 'vm-3']

/** Guards against a cluster that can't be initialized, and has one voter, since its other VMs found it first. */
test('a control VM that has joined the cluster by itself can still be initialized, and initialized again', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'lynxcourse-init-'))
  await using stack = createResourceStack()
  addResource(stack, { [Symbol.asyncDispose]: async () => await rm(folder, { recursive: true, force: true }) })
  const client = addResource(stack, createRpcClient({ timeoutMs: 3000, localAddress: '', tls: () => undefined, metrics: undefined }))
  const inputs: SettingsInput[] = []
  for (const vm of vms) inputs.push({ ...await createSingleVmSettings(folder, { times: testTimes }), vm })
  const seeds = inputs.map(({ vm, listen }) => ({ vm, region: 'kochi', rpc: listen.rpc }))
  for (const input of inputs) {
    const cfg = settingsSchema.parse({ ...input, seeds })
    addResource(stack, await startDaemon(cfg, cfg.callerBlocks, { logs: createSilentLogs(), seed: testSeed }))
  }
  const [first, second, third] = seeds.map(({ rpc }) => rpc) as [string, string, string]
  const getInfo = async (address: string): Promise<ClusterInfo> => await callPeer<ClusterInfo>(client, address, 'cluster.info', {})
  const voters = await Promise.all([first, second, third].map(async address => (await getInfo(address)).id))
  const init = async (address: string, cluster = 'test-cluster'): Promise<unknown> => await callPeer(client, address, 'cluster.init', { cluster, voters })
  await init(first)
  await waitForEvent('the others have found the cluster', async () => (await getInfo(second)).cluster !== undefined && (await getInfo(third)).cluster !== undefined)
  for (const address of [second, third, third]) await init(address)
  await assert.rejects(init(second, 'other-cluster'), err => isLynxError(err, 'badRequest'))
  for (const address of [first, second, third]) {
    await waitForEvent(`${address} is current`, async () => (await callPeer<Status>(client, address, 'query.status', {})).current)
  }
})
