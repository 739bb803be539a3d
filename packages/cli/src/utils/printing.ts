/** Output as a table or as JSON. */

export type OutputFormat = 'table' | 'json'

/** A row of output by column name. */
export type Row = Readonly<Record<string, unknown>>

function cell (value: unknown): string {
  if (value === undefined || value === null) return '-'
  if (typeof value === 'object') return JSON.stringify(value)
  return String(value)
}

/** A table with a head line. */
export function formatTable (rows: readonly Row[], columns: readonly string[]): string {
  const lines = [columns.map(column => column.toUpperCase()), ...rows.map(row => columns.map(column => cell(row[column])))]
  const widths = columns.map((_, place) => Math.max(...lines.map(line => line[place]?.length ?? 0)))
  return lines.map(line => line.map((text, place) => text.padEnd(widths[place] ?? 0)).join('  ').trimEnd()).join('\n')
}

/** Prints rows. */
export function printRows (format: OutputFormat, rows: readonly Row[], columns: readonly string[]): void {
  process.stdout.write(format === 'json' ? `${JSON.stringify(rows, undefined, 2)}\n` : `${formatTable(rows, columns)}\n`)
}

/** Prints one thing: as JSON, or as `key: value` lines. */
export function printOne (format: OutputFormat, thing: Row): void {
  if (format === 'json') {
    process.stdout.write(`${JSON.stringify(thing, undefined, 2)}\n`)
    return
  }
  for (const [key, value] of Object.entries(thing)) process.stdout.write(`${key}: ${cell(value)}\n`)
}

/** Prints a line of progress, apart from the output proper. */
export function printProgress (text: string): void {
  process.stderr.write(`${text}\n`)
}
