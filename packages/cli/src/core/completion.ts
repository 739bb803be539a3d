/** Bash completion, generated from the program's commands. */
import type { Command } from 'commander'

function completionWord (index: string): string {
  return '$' + `{COMP_WORDS[${index}]}`
}

/** Creates a script that completes commands and their subcommands. */
export function createBashCompletion (program: Command): string {
  const commandNames = program.commands.map(command => command.name()).join(' ')
  const cases = program.commands
    .filter(command => command.commands.length > 0)
    .map(command => `    ${command.name()}) words="${command.commands.map(child => child.name()).join(' ')}" ;;`)
  return [
    '_lynxcourse () {',
    `  local words="" cur="${completionWord('COMP_CWORD')}"`,
    `  case "${completionWord('COMP_CWORD-1')}" in`,
    ...cases,
    `    *) words="${commandNames}" ;;`,
    '  esac',
    '  COMPREPLY=($(compgen -W "$words" -- "$cur"))',
    '}',
    'complete -F _lynxcourse lynxcourse',
    ''
  ].join('\n')
}
