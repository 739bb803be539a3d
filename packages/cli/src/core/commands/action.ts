/** Joins commander's actions to sessions and exit codes. */
import type { Command } from 'commander'
import { getErrorMessage } from '@lynxcourse/base'
import { exitCodeOf } from '../../utils/exitCodes.js'
import { openSession } from '../session.js'
import type { GlobalOptions, Session } from '../session.js'

/** What a command does: its session, its arguments, its options; gives the exit code. */
export type CommandWork<Options> = (session: Session, args: string[], options: Options) => Promise<number>

/** Wraps a command's work for commander. */
export function action<Options = object> (work: CommandWork<Options>): (...given: unknown[]) => Promise<void> {
  return async (...given) => {
    const command = given.at(-1) as Command
    const args = given.slice(0, -2) as string[]
    try {
      await using session = openSession(command.optsWithGlobals<GlobalOptions>())
      process.exitCode = await work(session, args, command.opts() as Options)
    } catch (err) {
      process.stderr.write(`lynxcourse: ${getErrorMessage(err)}\n`)
      process.exitCode = exitCodeOf(err)
    }
  }
}

/** Adds the options that all changes take. */
export function changeOptions (command: Command): Command {
  return command
    .option('--change-id <id>', 'send a change again under the id printed the first time')
    .option('--wait', 'wait until the change is in force everywhere')
}
