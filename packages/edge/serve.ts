import { readFile, stat } from 'node:fs/promises'
import { PlatformEngineControl, PlatformStore, readHostSettings, type HostSettings } from '@berylshed/platform'
import { formatFinding } from '@berylshed/settings'
import { containExceptions } from './contain_exceptions.ts'
import { createLogger } from './logger.ts'
import { runEdge } from './run_edge.ts'

const EXIT_INVALID_SETTINGS = 2
const EXIT_STOPPED = 0
const EXIT_FAILED = 1
/** Environment variable that holds the path of the platform's settings file. */
const SETTINGS_VARIABLE = 'BERYLSHED_SETTINGS'
/** Interval between checks of the settings file, in ms. The platform may change it without sending a signal. */
const SETTINGS_POLL_MS = 2000

async function loadSettings (file: string): Promise<HostSettings> {
  const settings = readHostSettings(await readFile(file, 'utf8'), file)
  if (settings.isOk()) return settings.value
  for (const finding of settings.error) process.stderr.write(`${formatFinding(finding)}\n`)
  return process.exit(EXIT_INVALID_SETTINGS)
}

const file = process.env[SETTINGS_VARIABLE] ?? ''
if (file === '') {
  process.stderr.write(`Cannot start: ${SETTINGS_VARIABLE} is not set; name the platform's settings file\n`)
  process.exit(EXIT_INVALID_SETTINGS)
}
const settings = await loadSettings(file)
const logger = createLogger(settings.instance)
const store = new PlatformStore(settings.storeAddress, {
  onUnreadableEntry: (findings) => logger.write('registry', { what: 'entry_skipped', reason: findings.join('; ') })
})
const edge = await runEdge(settings, { store, registry: store.registry, engines: new PlatformEngineControl(), logger })
containExceptions(logger)

let stopping = false
function stop (): void {
  if (stopping) return
  stopping = true
  const end = async (code: number): Promise<never> => {
    await logger.end()
    return process.exit(code)
  }
  edge.drain().then(() => end(EXIT_STOPPED), (error: unknown) => {
    logger.write('process', { what: 'drain_failed', reason: String(error) })
    return end(EXIT_FAILED)
  }).catch(() => process.exit(EXIT_FAILED))
}
process.on('SIGTERM', stop)
process.on('SIGINT', stop)

// The settings are fixed for the lifetime of the process. A change is logged and takes effect at the next start.
async function logSettingsChange (): Promise<void> {
  const text = await readFile(file, 'utf8')
  const read = readHostSettings(text, file)
  logger.write('process', { what: 'settings_changed', findings: read.isErr() ? read.error.map(formatFinding).join('; ') : '' })
}

let lastModifiedMs = (await stat(file)).mtimeMs
async function pollSettings (): Promise<void> {
  const { mtimeMs } = await stat(file)
  if (mtimeMs === lastModifiedMs) return
  lastModifiedMs = mtimeMs
  await logSettingsChange()
}

function logSettingsFailure (error: unknown): void {
  logger.write('process', { what: 'settings_unread', reason: String(error) })
}
process.on('SIGHUP', () => { logSettingsChange().catch(logSettingsFailure) })
setInterval(() => { pollSettings().catch(logSettingsFailure) }, SETTINGS_POLL_MS).unref()
