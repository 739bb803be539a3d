#!/usr/bin/env node
/** The daemon's program. Exit codes: 0 stopped as asked, 1 failed, 2 bad settings or arguments. */
import { Command } from 'commander'
import { isLynxError, messageOf } from '@lynxcourse/base'
import { leaveGracefully, startDaemon } from './core/daemon.js'
import { buildBlockTable } from '@lynxcourse/routing'
import { readCallerBlocks, readSettings } from './utils/readSettings.js'

const exitFailed = 1
const exitBadInput = 2

interface Arguments {
  readonly config?: string
  readonly checkConfig?: string
}

const program = new Command('lynxcoursed')
  .description('Traffic steering daemon: entry and control roles by its settings.')
  .option('--config <file>', 'settings file (YAML)')
  .option('--check-config <file>', 'check a settings file and exit')
  .addHelpText('after', '\nExamples:\n  lynxcoursed --check-config vm.yaml\n  lynxcoursed --config vm.yaml\n')
  .exitOverride(err => { process.exit(err.exitCode === 0 ? 0 : exitBadInput) })

function checkOnly (file: string): void {
  const cfg = readSettings(file)
  const blocks = readCallerBlocks(cfg, file)
  buildBlockTable(blocks)
  process.stdout.write(`${file}: ok (VM ${cfg.vm}, ${cfg.roles.join('+')}, ${blocks.length} caller blocks)\n`)
}

async function run (file: string): Promise<void> {
  const cfg = readSettings(file)
  const daemon = await startDaemon(cfg, readCallerBlocks(cfg, file))
  let signals = 0
  await new Promise<void>(resolve => {
    const onSignal = (): void => {
      signals += 1
      if (signals > 1) process.exit(exitFailed)
      leaveGracefully(daemon).then(resolve, resolve)
    }
    process.on('SIGTERM', onSignal)
    process.on('SIGINT', onSignal)
  })
  await daemon[Symbol.asyncDispose]()
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
  process.stderr.write(`lynxcoursed: ${messageOf(err)}\n`)
  process.exit(isLynxError(err, 'badSettings') ? exitBadInput : exitFailed)
})
