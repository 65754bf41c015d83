/** Validation error in a document, with its location. */
export interface Finding {
  /** Name of the file or store object. */
  readonly source: string
  /** Line number in the file, starting at 1, or undefined if unknown. */
  readonly line: number | undefined
  /** Keys and array indices that lead to the value, joined by dots. */
  readonly path: string
  readonly message: string
}

/**
 * Formats a finding as one line of text.
 *
 * @param finding The finding to format.
 * @returns The formatted text, such as `a.toml:3: instance.peer_port: Expected number`.
 *
 * @example
 * ```ts
 * console.log(formatFinding({ source: 'a.toml', line: 3, path: 'x', message: 'Missing key' })) // a.toml:3: x: Missing key
 * ```
 */
export function formatFinding (finding: Finding): string {
  const location = finding.line === undefined ? finding.source : `${finding.source}:${finding.line}`
  return `${location}: ${finding.path}: ${finding.message}`
}
