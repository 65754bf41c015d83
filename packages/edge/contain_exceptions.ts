import type { Logger } from './logger.ts'

/**
 * Keeps exceptions that nothing caught from ending the process.
 *
 * The request whose handling was cut short is answered when its deadline has passed; the others go on. To be called before
 * the start: a start that fails rejects and ends the process itself.
 *
 * @param logger The logger that records the exceptions.
 *
 * @example
 * ```ts
 * containExceptions(createLogger('entry-1'))
 * ```
 */
export function containExceptions (logger: Logger): void {
  const record = (what: string) => (error: unknown): void => {
    logger.write('process', { what, reason: error instanceof Error ? error.stack ?? error.message : String(error) })
  }
  process.on('uncaughtException', record('uncaught_exception'))
  process.on('unhandledRejection', record('unhandled_rejection'))
}
