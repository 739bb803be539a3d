/** The complete command line. */
import { Command, Option } from 'commander'
import { exitCodes } from '../utils/exitCodes.js'
import { addDrainCommands, addShiftCommands } from './commands/operations.js'
import { addFleetCommands } from './commands/fleets.js'
import { addProfileCommands } from './commands/profiles.js'
import { addViewCommands } from './commands/views.js'
import { createBashCompletion } from './completion.js'

const helpText = `
Exit codes: 0 done, 1 failed, 2 bad input, 3 version conflict, 4 not found, 5 --wait timed out.
Addresses come from --addresses, LYNXCOURSE_ADDRESSES, or ~/.lynxcourse.yaml (addresses: [IP:port]).

Examples:
  lynxcourse --addresses 127.0.1.1:7100 status
  lynxcourse profile publish desk.yaml --wait
  lynxcourse drain start domain kochi-a
  lynxcourse route explain offers 10.1.2.3
  lynxcourse fleet match desk.example /offers/7
`

/** Creates the program with all of its commands. */
export function createProgram (): Command {
  const program = new Command('lynxcourse')
    .description('Operates a lynxcourse system: profiles, drains, shifts and routes.')
    .option('--addresses <list>', 'RPC addresses of VMs, separated by commas')
    .option('--client-config <file>', 'file with addresses, operator and tls')
    .option('--operator <name>', 'name of the operator who makes changes (default: the user\'s name)')
    .addOption(new Option('--output <format>', 'output format').choices(['table', 'json']).default('table'))
    .addHelpText('after', helpText)
  program.exitOverride(err => { process.exit(err.exitCode === 0 ? exitCodes.ok : exitCodes.badInput) })
  addProfileCommands(program)
  addDrainCommands(program)
  addShiftCommands(program)
  addViewCommands(program)
  addFleetCommands(program)
  program.command('completion').description('print a bash completion script: source <(lynxcourse completion)').action(() => {
    process.stdout.write(createBashCompletion(program))
  })
  for (const command of listSubcommands(program)) command.copyInheritedSettings(program)
  return program
}

function listSubcommands (command: Command): Command[] {
  return command.commands.flatMap(child => [child, ...listSubcommands(child)])
}
