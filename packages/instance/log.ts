import createDebug from 'debug'

/** Fields of a structured log line. Prompts, answers and keys must not be logged. */
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

/** Writes a structured log line. */
export type Log = (message: string, fields?: LogFields) => void

/**
 * Creates a logger for one subject. It writes only if the environment variable `DEBUG` enables `berylshed:<subject>`.
 *
 * @param subject The subject, such as `requests`.
 * @returns The logger.
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
