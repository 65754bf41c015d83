/**
 * Formats records as a text table.
 *
 * @param rows The records; the keys of the first one are the columns.
 * @returns The table: a header line and one line per record, or `(none)` without records.
 *
 * @example
 * ```ts
 * process.stdout.write(formatTable([{ name: 'model-7b', decided: 1 }]))
 * ```
 */
export function formatTable (rows: ReadonlyArray<Readonly<Record<string, unknown>>>): string {
  const first = rows[0]
  if (first === undefined) return '(none)\n'
  const columns = Object.keys(first)
  const cells = [columns, ...rows.map((row) => columns.map((column) => _formatCell(row[column])))]
  const widths = columns.map((_, i) => Math.max(...cells.map((line) => line[i]?.length ?? 0)))
  return cells.map((line) => `${line.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join('  ').trimEnd()}\n`).join('')
}

function _formatCell (value: unknown): string {
  if (typeof value === 'string') return value
  if (Array.isArray(value) && value.every((item) => typeof item === 'object')) return value.map((item) => Object.values(item as object).join(':')).join(' ')
  return JSON.stringify(value) ?? ''
}
