import { Schema } from 'effect'
import { err, ok, type Result } from 'neverthrow'
import { checkDocument, type Finding } from '@berylshed/settings'

/** Schema of one line of a trace. */
export const TraceRequestSchema = Schema.Struct({
  at_ms: Schema.Number,
  customer: Schema.String,
  model: Schema.String,
  tokens_in: Schema.Int,
  tokens_out: Schema.Int,
  deadline_ms: Schema.Int
})

/** One request of a trace; `model` names a base model or an adapter. */
export type TraceRequest = typeof TraceRequestSchema.Type

/**
 * Parses a trace in JSON Lines format.
 *
 * @param text The text of the trace.
 * @param options The name of the source, for findings.
 * @returns The requests in order of arrival, or all findings with their line numbers.
 *
 * @example
 * ```ts
 * const trace = readTrace('{"at_ms":0,"customer":"c","model":"m","tokens_in":1,"tokens_out":1,"deadline_ms":1}', { source: 'a' })
 * ```
 */
export function readTrace (text: string, options: { readonly source: string }): Result<readonly TraceRequest[], readonly Finding[]> {
  const requests: TraceRequest[] = []
  const findings: Finding[] = []
  text.split('\n').forEach((line, index) => {
    if (line.trim() === '') return
    _readLine(line, options.source).match(
      (request) => requests.push(request),
      (found) => findings.push(...found.map((finding) => ({ ...finding, line: index + 1 }))))
  })
  return findings.length > 0 ? err(findings) : ok(requests.sort((a, b) => a.at_ms - b.at_ms))
}

function _readLine (line: string, source: string): Result<TraceRequest, readonly Finding[]> {
  try {
    return checkDocument(JSON.parse(line), TraceRequestSchema, { source })
  } catch (error) {
    return err([{ source, line: undefined, path: '', message: error instanceof Error ? error.message : String(error) }])
  }
}

/**
 * Formats a trace as JSON Lines.
 *
 * @param trace The requests.
 * @returns The text of the trace.
 *
 * @example
 * ```ts
 * process.stdout.write(formatTrace(trace))
 * ```
 */
export function formatTrace (trace: readonly TraceRequest[]): string {
  return trace.map((request) => `${JSON.stringify(request)}\n`).join('')
}
