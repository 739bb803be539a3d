/** The command line as a whole. */
import { Command, Option } from 'commander'
import { exitCodes } from '../utils/exitCodes.js'
import { addDrainCommands, addShiftCommands } from './commands/operations.js'
import { addFleetCommands } from './commands/fleets.js'
import { addProfileCommands } from './commands/profiles.js'
import { addViewCommands } from './commands/views.js'
import { bashCompletion } from './completion.js'

const exitHelp = `
Exit codes: 0 done, 1 failed, 2 bad input, 3 version conflict, 4 not found, 5 --wait gave up.
Addresses come from --addresses, LYNXCOURSE_ADDRESSES, or ~/.lynxcourse.yaml (addresses: [IP:port]).

Examples:
  lynxcourse --addresses 127.0.1.1:7100 status
  lynxcourse profile publish desk.yaml --wait
  lynxcourse drain start domain kochi-a
  lynxcourse route explain offers 10.1.2.3
  lynxcourse fleet match desk.example /offers/7
`

/** Makes the program. */
export function makeProgram (): Command {
  const program = new Command('lynxcourse')
    .description('Operates lynxcourse: profiles, drains, shifts.')
    .option('--addresses <list>', 'RPC addresses of VMs, separated by commas')
    .option('--client-config <file>', 'file with addresses, operator and tls')
    .option('--operator <name>', 'who makes changes; the user\'s name if left out')
    .addOption(new Option('--output <format>', 'output format').choices(['table', 'json']).default('table'))
    .addHelpText('after', exitHelp)
  program.exitOverride(err => { process.exit(err.exitCode === 0 ? exitCodes.ok : exitCodes.badInput) })
  addProfileCommands(program)
  addDrainCommands(program)
  addShiftCommands(program)
  addViewCommands(program)
  addFleetCommands(program)
  program.command('completion').description('print a bash completion script: source <(lynxcourse completion)').action(() => {
    process.stdout.write(bashCompletion(program))
  })
  for (const command of allCommands(program)) command.copyInheritedSettings(program)
  return program
}

function allCommands (command: Command): Command[] {
  return command.commands.flatMap(child => [child, ...allCommands(child)])
}
