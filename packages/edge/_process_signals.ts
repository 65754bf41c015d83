/** Signals that ask the process to stop. */
const STOP_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGQUIT'] as const
/** Signals that are only noted. Without a handler all but SIGUSR1 end a process; at SIGUSR1 Node opens a debugger on a port of its own. */
const NOTED_SIGNALS = ['SIGHUP', 'SIGUSR1', 'SIGUSR2', 'SIGALRM', 'SIGVTALRM', 'SIGPROF', 'SIGXCPU', 'SIGIO', 'SIGPWR', 'SIGSTKFLT'] as const

/** A signal that the process handles. */
export type ProcessSignal = typeof STOP_SIGNALS[number] | typeof NOTED_SIGNALS[number]

/** Signals that the process has received. */
export interface ProcessSignals {
  /** Aborted with the first signal that asks the process to stop. */
  readonly stopping: AbortSignal
  /** Calls the handler for each signal, also for those that came before there was a handler. */
  handleEach (handler: (signal: ProcessSignal) => void): void
}

/**
 * Handles the signals of this process from now on.
 *
 * To be called before anything else is loaded: without a handler SIGHUP, which tells of changed settings, ends the process.
 */
export function createProcessSignals (): ProcessSignals {
  const stop = new AbortController()
  const unhandled: ProcessSignal[] = []
  const handlers: Array<(signal: ProcessSignal) => void> = []
  const receive = (name: ProcessSignal): void => {
    if (handlers.length === 0) unhandled.push(name)
    for (const handle of handlers) handle(name)
  }
  for (const name of NOTED_SIGNALS) process.on(name, () => receive(name))
  for (const name of STOP_SIGNALS) {
    process.on(name, () => {
      stop.abort(name)
      receive(name)
    })
  }
  return {
    stopping: stop.signal,
    handleEach: (handler) => {
      handlers.push(handler)
      for (const name of unhandled.splice(0)) handler(name)
    }
  }
}
