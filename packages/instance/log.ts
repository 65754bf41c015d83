import createDebug from 'debug'

/** Fields of a structured log line; never prompts, answers or keys. */
export interface LogFields {
  readonly request?: string
  readonly customer?: string
  readonly model?: string
  readonly upstream?: string
  readonly fence?: number
  readonly reason?: string
  readonly error?: string
  readonly count?: number
}

/** Writes structured lines of one subject. */
export type Log = (message: string, fields?: LogFields) => void

/**
 * Creates the log of one subject; it is shown where the DEBUG variable names it.
 *
 * @param subject The subject, such as `requests`.
 * @returns The log.
 *
 * @example
 * ```ts
 * const log = createLog('requests')
 * log('request refused', { request: 'entry-1-4', reason: 'queue_full' })
 * ```
 */
export function createLog (subject: string): Log {
  const debug = createDebug(`berylshed:${subject}`)
  return (message, fields = {}) => {
    if (debug.enabled) debug('%s', JSON.stringify({ message, ...fields }))
  }
}
