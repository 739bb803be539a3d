/** Commands that a child process receives from its parent, with one reply to each. */

/** Executes the parent's commands and sends one reply to each; exits when the parent disconnects. */
export function serveCommands<Command> (execute: (command: Command) => Promise<object>): void {
  process.on('message', (command: Command) => {
    execute(command).then(reply => process.send?.(reply), (err: unknown) => process.send?.({ error: String(err) }))
  })
  process.on('disconnect', () => process.exit(0))
}
