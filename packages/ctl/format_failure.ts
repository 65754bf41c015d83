import { formatFinding, type Finding } from '@berylshed/settings'
import type { AdminFailure } from './admin_client.ts'

interface _ErrorBody {
  readonly error?: string
  readonly findings?: readonly Finding[]
}

/**
 * Formats a failed call: the message and its findings as text, or the complete response as JSON.
 *
 * @param failure The failure.
 * @param json Whether to format as JSON.
 * @returns The lines to print.
 *
 * @example
 * ```ts
 * process.stderr.write(formatFailure({ exitCode: 4, detail: 'Cannot reach 127.0.0.1:8100' }, false))
 * ```
 */
export function formatFailure (failure: AdminFailure, json: boolean): string {
  if (json) return `${JSON.stringify(failure.detail)}\n`
  if (typeof failure.detail === 'string') return `${failure.detail}\n`
  const detail = failure.detail as _ErrorBody
  const findings = (detail.findings ?? []).map((finding) => `${formatFinding(finding)}\n`)
  return [`${detail.error ?? JSON.stringify(failure.detail)}\n`, ...findings].join('')
}
