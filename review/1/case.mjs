/**
 * Hundreds of whole configurations; then one control VM of three loses its disk and comes back with an empty one, and
 * long after CatchUpS another one does. Without the disruption, all is the same, but no disk is lost.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Operator, createConfig, createRecord, createWorld, defineVm, delay, encodeVersion, enforceMemory, killVm, readMemory, runCase, seconds, startVm } from '../lib/harness.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const routeCount = 360
const changeCount = 450
/** Changes are sent for this long at most. */
const sendForMs = 55_000
const downMs = 2000
/** Time between the return of the first machine and the second loss; the pages call it lost for CatchUpS (4 s). */
const betweenMs = 15_000
/** Time that all is left alone before the operator reads: RecoveryS. */
const recoveryMs = 15_000
/** How long the operator reads at the end of the day: more than ContactS. */
const readForMs = 10_000

const folder = dirname(fileURLToPath(import.meta.url))
const record = createRecord(folder)
const zones = { 'kochi-a': 'kochi', 'chennai-a': 'chennai', 'mumbai-a': 'mumbai' }

const buildConfig = round => createConfig(Array.from({ length: routeCount }, (_, index) => {
  const service = index < 4 && round % 2 === 1 ? 'wuno96b' : 'huvo11a'
  const split = [{ Service: service, Weight: 90 }, { Service: 'zule40c', Weight: 10 }]
  return [`r-${(index + 100_000).toString(36)}`, 'ficu95.example', `/p${(index + 1000).toString(36)}/`, 'unsafe', 1.2, 0.3, 1, null, 2, true, [], split]
}), ['huvo11a', 'wuno96b', 'zule40c'])

await runCase(async () => {
  const world = await createWorld(3)
  const vms = Object.keys(zones).map((zone, index) => defineVm(world, { name: `core-${index + 1}`, role: 'control', ip: world.ips[index], zone, seeds: world.ips, zones }))
  return { world, play: async () => await play(world, vms) }
})

async function play (world, vms) {
  for (const vm of vms) startVm(vm, record, true)
  enforceMemory(world, vms, record)
  await delay(4000)
  const operator = new Operator(world, world.ips, record)
  let acknowledged = 0
  let changes = 0
  const sendUntil = performance.now() + sendForMs
  while (changes < changeCount && performance.now() < sendUntil) {
    const answer = await operator.replace(acknowledged, acknowledged + 2, buildConfig(changes))
    if (answer.status !== 200) return { exitCode: 2, why: `change ${changes} was not accepted, before the disruption` }
    acknowledged += 2
    changes += 1
  }
  const describe = () => `memory of the control VMs in MB ${vms.map(readMemory).join()}, ends by themselves ${vms.map(vm => vm.ends.length).join()}`
  record(`${changes} changes acknowledged, newest version ${encodeVersion(acknowledged)}; ${describe()}`)
  if (vms.some(vm => vm.ends.length > 0)) return { exitCode: 2, why: 'a process ended by itself before the disruption' }
  const loseDisk = async vm => {
    await killVm(vm, record, true)
    await delay(downMs)
    startVm(vm, record)
  }
  const watch = async forMs => {
    const until = performance.now() + forMs
    while (performance.now() < until) {
      await delay(1000)
      record(describe())
    }
  }
  if (hasTrouble) await loseDisk(vms[2])
  await watch(betweenMs)
  if (hasTrouble) await loseDisk(vms[0])
  await watch(recoveryMs)
  const read = await operator.read(readForMs)
  // For the record only: an order after the losses.
  await operator.replace(acknowledged, acknowledged + 2, buildConfig(changes))
  const ends = vms.map(vm => vm.ends.length)
  record(`ends by themselves: ${ends.join()}`)
  const isBroken = read === undefined || parseInt(read.Version, 16) < acknowledged
  return { exitCode: isBroken ? 1 : 0, why: `${changes} changes, acknowledged ${encodeVersion(acknowledged)}, read back ${read?.Version ?? 'nothing'}, ends by themselves ${ends.join()}, at ${seconds()} s` }
}
