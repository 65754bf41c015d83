import { readFile, stat } from 'node:fs/promises'
import { PlatformEngineControl, PlatformStore, readHostSettings } from '@berylshed/platform'
import { formatFinding } from '@berylshed/settings'
import type { ProcessSignals } from './_process_signals.ts'
import { readStartSettings } from './_start_settings.ts'
import { containExceptions } from './contain_exceptions.ts'
import { createLogger, type Line, type Logger } from './logger.ts'
import { runEdge } from './run_edge.ts'

const EXIT_INVALID_SETTINGS = 2
const EXIT_STOPPED = 0
const EXIT_FAILED = 1
/** Environment variable that holds the path of the platform's settings file. */
const SETTINGS_VARIABLE = 'BERYLSHED_SETTINGS'
/** Interval between checks of the settings file, in ms. The platform may change it without sending a signal. */
const SETTINGS_POLL_MS = 2000
/** Name in the lines of a process that has no settings. */
const UNNAMED = 'unnamed'

async function end (logger: Logger, code: number, why: Line): Promise<never> {
  logger.write('process', { what: 'ended', code, ...why })
  await logger.end()
  return process.exit(code)
}

async function endWithFindings (findings: readonly string[]): Promise<never> {
  const logger = createLogger(UNNAMED)
  for (const finding of findings) process.stderr.write(`${finding}\n`)
  logger.write('process', { what: 'start_failed', reason: findings.join('; ') })
  return await end(logger, EXIT_INVALID_SETTINGS, { reason: 'invalid settings' })
}

async function endStart (logger: Logger, error: unknown, stopping: AbortSignal): Promise<never> {
  if (stopping.aborted) return await end(logger, EXIT_STOPPED, { reason: `${String(stopping.reason)} in the start` })
  logger.write('process', { what: 'start_failed', reason: error instanceof Error ? error.stack ?? error.message : String(error) })
  return await end(logger, EXIT_FAILED, { reason: 'the start failed' })
}

// The settings are fixed for the lifetime of the process. A change is logged and takes effect at the next start.
function followSettings (file: string, logger: Logger, signals: ProcessSignals): void {
  let lastModifiedMs: number | undefined

  async function logSettingsChange (): Promise<void> {
    const read = readHostSettings(await readFile(file, 'utf8'), file)
    logger.write('process', { what: 'settings_changed', findings: read.isErr() ? read.error.map(formatFinding).join('; ') : '' })
  }

  async function pollSettings (): Promise<void> {
    const { mtimeMs } = await stat(file)
    const known = lastModifiedMs
    lastModifiedMs = mtimeMs
    if (known !== undefined && mtimeMs !== known) await logSettingsChange()
  }

  function logSettingsFailure (error: unknown): void {
    logger.write('process', { what: 'settings_unread', reason: String(error) })
  }

  pollSettings().catch(logSettingsFailure)
  setInterval(() => { pollSettings().catch(logSettingsFailure) }, SETTINGS_POLL_MS).unref()
  signals.handleEach((signal) => {
    logger.write('process', { what: 'signal', name: signal })
    if (signal === 'SIGHUP') logSettingsChange().catch(logSettingsFailure)
  })
}

/**
 * Runs the program until it is told to stop, and ends the process.
 *
 * @param signals Signals of the process, handled since before this module was loaded.
 * @returns Never.
 *
 * @example
 * ```ts
 * await serve(createProcessSignals())
 * ```
 */
export async function serve (signals: ProcessSignals): Promise<never> {
  const { stopping } = signals
  const file = process.env[SETTINGS_VARIABLE] ?? ''
  if (file === '') return await endWithFindings([`Cannot start: ${SETTINGS_VARIABLE} is not set; name the platform's settings file`])
  const settings = await readStartSettings(file, stopping).catch(async (error: unknown) => await endStart(createLogger(UNNAMED), error, stopping))
  if (settings.isErr()) return await endWithFindings(settings.error)
  const logger = createLogger(settings.value.instance)
  containExceptions(logger)
  followSettings(file, logger, signals)
  // No caller has been accepted that a drain would have to wait for.
  if (stopping.aborted) return await endStart(logger, undefined, stopping)
  const store = new PlatformStore(settings.value.storeAddress, {
    onUnreadableEntry: (findings) => logger.write('registry', { what: 'entry_skipped', reason: findings.join('; ') })
  })
  const edge = await runEdge(settings.value, { store, registry: store.registry, engines: new PlatformEngineControl(), logger, stopping })
    .catch(async (error: unknown) => await endStart(logger, error, stopping))
  await _whenAborted(stopping)
  try {
    await edge.drain()
  } catch (error) {
    logger.write('process', { what: 'drain_failed', reason: error instanceof Error ? error.stack ?? error.message : String(error) })
    return await end(logger, EXIT_FAILED, { reason: 'the drain failed' })
  }
  return await end(logger, EXIT_STOPPED, { reason: String(stopping.reason) })
}

function _whenAborted (signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve()
  return new Promise((resolve) => signal.addEventListener('abort', () => resolve(), { once: true }))
}
