/** Bash completion, made from the commands themselves. */
import type { Command } from 'commander'

function word (index: string): string {
  return '$' + `{COMP_WORDS[${index}]}`
}

/** A script that completes commands and their subcommands. */
export function bashCompletion (program: Command): string {
  const top = program.commands.map(command => command.name()).join(' ')
  const cases = program.commands
    .filter(command => command.commands.length > 0)
    .map(command => `    ${command.name()}) words="${command.commands.map(child => child.name()).join(' ')}" ;;`)
  return [
    '_lynxcourse () {',
    `  local words="" cur="${word('COMP_CWORD')}"`,
    `  case "${word('COMP_CWORD-1')}" in`,
    ...cases,
    `    *) words="${top}" ;;`,
    '  esac',
    '  COMPREPLY=($(compgen -W "$words" -- "$cur"))',
    '}',
    'complete -F _lynxcourse lynxcourse',
    ''
  ].join('\n')
}
