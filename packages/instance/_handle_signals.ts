import { createLog } from './log.ts'

/**
 * Handles the signals of the process from now on, so that none ends it before it can stop in order.
 *
 * @returns A function that takes how to stop, once the process serves; a stop that was requested before begins then.
 */
export function handleSignals (): (stop: () => Promise<void>) => void {
  const log = createLog('process')
  let stop: (() => Promise<void>) | undefined
  let requested = false
  let stopping = false

  function stopIfRequested (): void {
    if (stop === undefined || !requested || stopping) return
    stopping = true
    stop().then(() => process.exit(0), (error: unknown) => {
      log('stop failed', { error: String(error) })
      process.exit(1)
    })
  }

  function onSignal (signal: NodeJS.Signals): void {
    log('signal', { reason: signal })
    // The settings are fixed for the lifetime of the process; SIGHUP would end it by default.
    if (signal === 'SIGHUP') return
    requested = true
    stopIfRequested()
  }

  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) process.on(signal, onSignal)
  log('starting')
  return (stopInOrder) => {
    stop = stopInOrder
    stopIfRequested()
  }
}
