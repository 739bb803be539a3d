#!/usr/bin/env node
/** The daemon's program. Exit codes: 0 stopped as asked, 1 failed, 2 bad settings or arguments. */
import { Command } from 'commander'
import { LynxError, isLynxError, getErrorMessage } from '@lynxcourse/base'
import { buildBlockTable } from '@lynxcourse/routing'
import { leaveGracefully, startDaemon } from './core/daemon.js'
import { leaveFleet, startFleetDaemon } from './core/fleet/fleetDaemon.js'
import type { FleetDaemon } from './core/fleet/fleetDaemon.js'
import { reloadFleetSettings } from './core/fleet/fleetNode.js'
import { DefaultCallerDialect, DefaultServerDialect } from './core/gateway/dialects.js'
import { log } from './utils/logging.js'
import { readAnySettings, readCallerBlocks } from './utils/readSettings.js'

const exitFailed = 1
const exitBadInput = 2

interface Arguments {
  readonly config?: string
  readonly checkConfig?: string
}

const program = new Command('lynxcoursed')
  .description('Traffic steering daemon: entry and control roles by its settings; a file with the key fleet starts a VM of a fleet.')
  .option('--config <file>', 'settings file (YAML)')
  .option('--check-config <file>', 'check a settings file and exit')
  .addHelpText('after', '\nExamples:\n  lynxcoursed --check-config vm.yaml\n  lynxcoursed --config vm.yaml\n')
  .exitOverride(err => { process.exit(err.exitCode === 0 ? 0 : exitBadInput) })

function checkOnly (file: string): void {
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

/** A running VM of either kind. */
interface Running extends AsyncDisposable {
  /** Lets the VM go without cutting a request. */
  readonly leave: () => Promise<void>
}

async function start (file: string): Promise<Running> {
  const settings = readAnySettings(file)
  if (settings.kind === 'fleet') {
    const vm = await startFleetDaemon(settings.cfg, { callers: new DefaultCallerDialect(), servers: new DefaultServerDialect() })
    process.on('SIGHUP', () => reloadFleetFile(vm, file))
    return { leave: async () => await leaveFleet(vm), [Symbol.asyncDispose]: async () => await vm[Symbol.asyncDispose]() }
  }
  const daemon = await startDaemon(settings.cfg, readCallerBlocks(settings.cfg, file))
  return { leave: async () => await leaveGracefully(daemon), [Symbol.asyncDispose]: async () => await daemon[Symbol.asyncDispose]() }
}

function reloadFleetFile (vm: FleetDaemon, file: string): void {
  const { node } = vm
  try {
    const next = readAnySettings(file)
    if (next.kind !== 'fleet') throw new LynxError('badSettings', `${file}: fleet: expected`, { step: 'reload', field: 'fleet' })
    reloadFleetSettings(node, next.cfg)
    log(node.logs, 'daemon', 'info', 'Settings read again.', { seeds: node.cfg.seeds.join() })
  } catch (err) {
    log(node.logs, 'daemon', 'error', 'Settings not taken over; the former ones stay.', { error: getErrorMessage(err) })
  }
}

async function run (file: string): Promise<void> {
  const running = await start(file)
  let signals = 0
  await new Promise<void>(resolve => {
    const onSignal = (): void => {
      signals += 1
      if (signals > 1) process.exit(exitFailed)
      running.leave().then(resolve, resolve)
    }
    process.on('SIGTERM', onSignal)
    process.on('SIGINT', onSignal)
  })
  await running[Symbol.asyncDispose]()
  process.exit(0)
}

async function main (): Promise<void> {
  const args = program.parse().opts<Arguments>()
  if (args.checkConfig !== undefined) {
    checkOnly(args.checkConfig)
    return
  }
  if (args.config === undefined) program.error('error: --config FILE is needed')
  await run(args.config as string)
}

main().catch((err: unknown) => {
  process.stderr.write(`lynxcoursed: ${getErrorMessage(err)}\n`)
  process.exit(isLynxError(err, 'badSettings') ? exitBadInput : exitFailed)
})
