import { err, ok, type Result } from 'neverthrow'
import type { Finding } from './finding.ts'
import { locateKey } from './locate_key.ts'
import { readDocument, type DocumentOptions } from './read_document.ts'
import { SettingsSchema, type Settings } from './settings.ts'

/**
 * Parses and validates the settings of an entry instance.
 *
 * @param text The TOML text to parse.
 * @param options The source of the text.
 * @returns The settings, or all findings with their lines and keys.
 *
 * @example
 * ```ts
 * const settings = readSettings(await readFile('entry.toml', 'utf8'), { source: 'entry.toml' })
 * ```
 */
export function readSettings (text: string, options: DocumentOptions): Result<Settings, readonly Finding[]> {
  return readDocument(text, SettingsSchema, options).andThen((settings) => {
    const findings = _checkLease(settings).map(({ path, message }): Finding => ({
      source: options.source, line: locateKey(text, path), path: path.join('.'), message
    }))
    return findings.length === 0 ? ok(settings) : err(findings)
  })
}

interface _Problem {
  readonly path: readonly string[]
  readonly message: string
}

// The holder counts its shorter time to live from when it sent the last write; the followers count the lease's time to
// live from when they saw that write. The margin between the two covers timers that fire late.
function _checkLease (settings: Settings): readonly _Problem[] {
  const { lease_ttl_ms: leaseTtlMs, holder_ttl_ms: holderTtlMs, renew_ms: renewMs } = settings.lease
  const problems: _Problem[] = []
  if (holderTtlMs >= leaseTtlMs) {
    problems.push({
      path: ['lease', 'holder_ttl_ms'],
      message: `Expected less than lease_ttl_ms (${leaseTtlMs}), got ${holderTtlMs}; lower it`
    })
  }
  if (renewMs * 2 > holderTtlMs) {
    problems.push({
      path: ['lease', 'renew_ms'],
      message: `Expected at most half of holder_ttl_ms (${holderTtlMs}), got ${renewMs}; lower it`
    })
  }
  return problems
}
