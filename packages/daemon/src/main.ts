#!/usr/bin/env node
/** Command line program of the daemon. Exit codes: 0 stopped by a signal, 1 failed, 2 invalid settings or arguments. */
import { Command } from 'commander'
import { LynxError, isLynxError, getErrorMessage } from '@lynxcourse/base'
import { buildBlockTable } from '@lynxcourse/routing'
import { startDaemon, stopDaemon } from './core/daemon.js'
import { startFleetDaemon } from './core/fleet/fleetDaemon.js'
import type { FleetDaemon } from './core/fleet/fleetDaemon.js'
import { reloadFleetSettings } from './core/fleet/fleetNode.js'
import { leaveFleet, reportSignal } from './core/fleet/leaveFleet.js'
import { DefaultCallerDialect, DefaultServerDialect } from './core/gateway/dialects.js'
import { runUntilStopped } from './core/runUntilStopped.js'
import type { RunningVm } from './core/runUntilStopped.js'
import { getCurrentTime } from './utils/clock.js'
import { log } from './utils/logging.js'
import { readAnySettings, readCallerBlocks } from './utils/readSettings.js'
import { listenForReload } from './utils/reloadSignal.js'

const exitFailed = 1
const exitBadInput = 2

interface Arguments {
  readonly config?: string
  readonly checkConfig?: string
}

const program = new Command('lynxcoursed')
  .description('Traffic steering daemon. The settings file selects the roles entry and control. A file with the key fleet starts a VM of a fleet.')
  .option('--config <file>', 'settings file (YAML)')
  .option('--check-config <file>', 'check a settings file and exit')
  .addHelpText('after', '\nExamples:\n  lynxcoursed --check-config vm.yaml\n  lynxcoursed --config vm.yaml\n')
  .exitOverride(err => { process.exit(err.exitCode === 0 ? 0 : exitBadInput) })

function checkSettings (file: string): void {
  const settings = readAnySettings(file)
  if (settings.kind === 'fleet') {
    const { cfg } = settings
    process.stdout.write(`${file}: ok (fleet VM ${cfg.name}, ${cfg.roles.join('+')})\n`)
    return
  }
  const { cfg } = settings
  const blocks = readCallerBlocks(cfg, file)
  buildBlockTable(blocks)
  process.stdout.write(`${file}: ok (VM ${cfg.vm}, ${cfg.roles.join('+')}, ${blocks.length} caller blocks)\n`)
}

/** Starts a VM, either service-addressed or of a fleet. */
async function start (file: string): Promise<RunningVm & AsyncDisposable> {
  const settings = readAnySettings(file)
  if (settings.kind === 'fleet') {
    const reloadSignal = listenForReload()
    const vm = await startFleetDaemon(settings.cfg, { callers: new DefaultCallerDialect(), servers: new DefaultServerDialect() })
    reloadSignal.handle(() => reloadFleetFile(vm, file))
    return { logs: vm.node.logs, leave: async () => await leaveFleet(vm), reportSignal: (signal, firstAt) => reportSignal(vm, signal, firstAt, getCurrentTime()), [Symbol.asyncDispose]: async () => await vm[Symbol.asyncDispose]() }
  }
  const daemon = await startDaemon(settings.cfg, readCallerBlocks(settings.cfg, file))
  const { logs } = daemon.node
  return { logs, leave: async () => await stopDaemon(daemon), reportSignal: signal => log(logs, 'daemon', 'info', 'Signal received.', { signal }), [Symbol.asyncDispose]: async () => await daemon[Symbol.asyncDispose]() }
}

function reloadFleetFile (vm: FleetDaemon, file: string): void {
  const { node } = vm
  try {
    const next = readAnySettings(file)
    if (next.kind !== 'fleet') throw new LynxError('badSettings', `${file}: fleet: is required, since this VM belongs to a fleet`, { step: 'reload', field: 'fleet' })
    reloadFleetSettings(node, next.cfg)
    log(node.logs, 'daemon', 'info', 'Settings reloaded.', { seeds: node.cfg.seeds.join() })
  } catch (err) {
    log(node.logs, 'daemon', 'error', 'Settings were not reloaded. The previous settings stay in use.', { error: getErrorMessage(err) })
  }
}

async function run (file: string): Promise<void> {
  const vm = await runUntilStopped(async () => await start(file), exitFailed)
  await vm[Symbol.asyncDispose]()
  process.exit(0)
}

async function main (): Promise<void> {
  const args = program.parse().opts<Arguments>()
  if (args.checkConfig !== undefined) {
    checkSettings(args.checkConfig)
    return
  }
  if (args.config === undefined) program.error('error: --config FILE is required')
  await run(args.config as string)
}

main().catch((err: unknown) => {
  process.stderr.write(`lynxcoursed: ${getErrorMessage(err)}\n`)
  process.exit(isLynxError(err, 'badSettings') ? exitBadInput : exitFailed)
})
