/** Runs the handlers of commands with a session, and sets exit codes. */
import type { Command } from 'commander'
import { getErrorMessage } from '@lynxcourse/base'
import { getExitCode } from '../../utils/exitCodes.js'
import { openSession } from '../session.js'
import type { GlobalOptions, Session } from '../session.js'

/** Handler of a command; returns the exit code. */
export type CommandHandler<Options> = (session: Session, args: string[], options: Options) => Promise<number>

/** Creates a commander action that runs a handler in a new session and reports its errors. */
export function createAction<Options = object> (handler: CommandHandler<Options>): (...params: unknown[]) => Promise<void> {
  return async (...params) => {
    const command = params.at(-1) as Command
    const args = params.slice(0, -2) as string[]
    try {
      await using session = openSession(command.optsWithGlobals<GlobalOptions>())
      process.exitCode = await handler(session, args, command.opts() as Options)
    } catch (err) {
      process.stderr.write(`lynxcourse: ${getErrorMessage(err)}\n`)
      process.exitCode = getExitCode(err)
    }
  }
}

/** Adds the options of all commands that submit a change. */
export function addChangeOptions (command: Command): Command {
  return command
    .option('--change-id <id>', 'send a change again under its printed id')
    .option('--wait', 'wait until the change is in force everywhere')
}
