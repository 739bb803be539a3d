/** Prints output as a table or as JSON. */

export type OutputFormat = 'table' | 'json'

/** Values of an output row by column name. */
export type Row = Readonly<Record<string, unknown>>

function formatCell (value: unknown): string {
  if (value === undefined || value === null) return '-'
  if (typeof value === 'object') return JSON.stringify(value)
  return String(value)
}

/** Formats rows as a table with a header line. */
export function formatTable (rows: readonly Row[], columns: readonly string[]): string {
  const lines = [columns.map(column => column.toUpperCase()), ...rows.map(row => columns.map(column => formatCell(row[column])))]
  const widths = columns.map((_, columnIndex) => Math.max(...lines.map(line => line[columnIndex]?.length ?? 0)))
  return lines.map(line => line.map((text, columnIndex) => text.padEnd(widths[columnIndex] ?? 0)).join('  ').trimEnd()).join('\n')
}

/** Prints rows to stdout. */
export function printRows (format: OutputFormat, rows: readonly Row[], columns: readonly string[]): void {
  process.stdout.write(format === 'json' ? `${JSON.stringify(rows, undefined, 2)}\n` : `${formatTable(rows, columns)}\n`)
}

/** Prints a record to stdout, as JSON or as `key: value` lines. */
export function printRecord (format: OutputFormat, record: Row): void {
  if (format === 'json') {
    process.stdout.write(`${JSON.stringify(record, undefined, 2)}\n`)
    return
  }
  for (const [key, value] of Object.entries(record)) process.stdout.write(`${key}: ${formatCell(value)}\n`)
}

/** Prints a progress message to stderr, separate from the command's output. */
export function printProgress (text: string): void {
  process.stderr.write(`${text}\n`)
}
