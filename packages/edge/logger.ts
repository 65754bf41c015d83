import pino from 'pino'

/** Fields of a log line; values are scalars, which keeps lines short. */
export type Line = Readonly<Record<string, string | number | boolean | undefined>>

/** Writes structured lines to standard output. */
export interface Logger {
  /** Writes one line. Drops and counts it if the reader does not keep up. */
  write (subject: string, line: Line): void
  /** Returns the number of lines dropped so far. */
  dropped (): number
  /** Flushes buffered lines before the process exits. Discards lines that the reader does not accept within the timeout. */
  end (): Promise<void>
}

/** Minimum number of bytes per write. One memory page avoids most of the system calls. */
const MIN_WRITE_BYTES = 4096
/** Maximum number of bytes buffered while the reader is stalled. */
const MAX_BUFFERED_BYTES = 1024 * 1024
/** Timeout for the last flush, in ms; a small part of the grace period for shutdown. */
const END_TIMEOUT_MS = 300
/** Maximum time for which a line is buffered, in ms. */
const FLUSH_MS = 200

/**
 * Creates the logger of a process.
 *
 * The thread pool writes the lines, so a stalled reader does not block the process. Lines that exceed the buffer are dropped
 * and counted, and the count is logged once the reader continues.
 *
 * @param instance The name of the instance, included in each line.
 * @returns The logger.
 *
 * @example
 * ```ts
 * const logger = createLogger('entry-1')
 * logger.write('process', { what: 'started' })
 * ```
 */
export function createLogger (instance: string): Logger {
  const destination = pino.destination({ fd: 1, sync: false, minLength: MIN_WRITE_BYTES, maxLength: MAX_BUFFERED_BYTES })
  const logger = pino({ base: { instance } }, destination)
  let dropped = 0
  let reported = 0
  let ended = false
  // What could not be written stays buffered, and the next flush tries it again; lines about it would fail alike.
  destination.on('error', () => {})
  destination.on('drop', () => { dropped += 1 })
  const timer = setInterval(() => {
    if (dropped > reported) logger.info({ subject: 'journal', what: 'lines_dropped', count: dropped - reported })
    reported = dropped
    destination.flush()
  }, FLUSH_MS)
  timer.unref()

  return {
    write: (subject, line) => {
      // The destination throws once it is closed.
      if (!ended) logger.info({ subject, ...line })
    },
    dropped: () => dropped,
    end: () => new Promise((resolve) => {
      clearInterval(timer)
      ended = true
      // Otherwise the destination would flush synchronously at exit and block on a stalled reader.
      const giveUp = setTimeout(() => {
        destination.destroy()
        resolve()
      }, END_TIMEOUT_MS)
      destination.once('close', () => {
        clearTimeout(giveUp)
        resolve()
      })
      // A flush reports the end of a write in progress, and leaves what has come since.
      destination.end()
    })
  }
}
