import { readFile } from 'node:fs/promises'
import { setTimeout as sleep } from 'node:timers/promises'
import { readHostSettings, type HostSettings } from '@berylshed/platform'
import { formatFinding } from '@berylshed/settings'
import { err, type Result } from 'neverthrow'

/** Time for which a settings file that is missing or incomplete is read again, in ms; the platform may be writing it. */
const INCOMPLETE_TIMEOUT_MS = 2000
const INCOMPLETE_INTERVAL_MS = 50

/**
 * Reads the settings of a process that starts. Reads a file that is missing or no JSON document again for some time; a document with
 * wrong settings is final. Rejects when told to stop.
 *
 * @param file The path of the settings file.
 * @param stopping Ends the wait for the file.
 * @returns The settings, or all findings as text.
 *
 * @example
 * ```ts
 * const settings = await readStartSettings('/etc/berylshed/settings.json', processSignals.stopping)
 * ```
 */
export async function readStartSettings (file: string, stopping: AbortSignal): Promise<Result<HostSettings, readonly string[]>> {
  const untilMs = performance.now() + INCOMPLETE_TIMEOUT_MS
  for (;;) {
    const text = await readFile(file, 'utf8').catch((error: unknown) => new Error(`${file}: cannot be read; name the platform's settings file: ${String(error)}`))
    if (typeof text === 'string' && _isComplete(text)) return readHostSettings(text, file).mapErr((findings) => findings.map(formatFinding))
    if (performance.now() >= untilMs) return typeof text === 'string' ? readHostSettings(text, file).mapErr((findings) => findings.map(formatFinding)) : err([text.message])
    await sleep(INCOMPLETE_INTERVAL_MS, undefined, { signal: stopping })
  }
}

function _isComplete (text: string): boolean {
  try {
    JSON.parse(text)
    return true
  } catch {
    // The file may be half written.
    return false
  }
}
