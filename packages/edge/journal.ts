import pino from 'pino'

/** A line for the log; values are scalars, so that a line stays short. */
export type Line = Readonly<Record<string, string | number | boolean | undefined>>

/** Writes structured lines to standard output. */
export interface Journal {
  /** Writes one line; it is dropped, and counted, where the reader does not keep up. */
  write (subject: string, line: Line): void
  /** Lines that were dropped so far. */
  dropped (): number
  /** Writes out what is held back, at the end of the process; what the reader does not take soon is given up. */
  end (): Promise<void>
}

/** Text that is gathered before it is written, in bytes; a page saves most of the system calls. */
const GATHERED_BYTES = 4096
/** Text that may wait for a reader that has stopped, in bytes. */
const MAX_HELD_BYTES = 1024 * 1024
/** Longest wait for the reader at the end of the process, in ms; a small part of the time that the platform grants. */
const END_MS = 300
/** Longest time that a line waits to be gathered with others, in ms. */
const FLUSH_MS = 200

/**
 * Creates the journal of a process.
 *
 * Lines are written by the thread pool, so that a reader that has stopped blocks nothing; what does not fit meanwhile is
 * dropped and counted, and the count is written once the reader goes on.
 *
 * @param instance The instance's name, which each line carries.
 * @returns The journal.
 *
 * @example
 * ```ts
 * const journal = createJournal('entry-1')
 * journal.write('process', { what: 'started' })
 * ```
 */
export function createJournal (instance: string): Journal {
  const destination = pino.destination({ fd: 1, sync: false, minLength: GATHERED_BYTES, maxLength: MAX_HELD_BYTES })
  const logger = pino({ base: { instance } }, destination)
  let dropped = 0
  let reported = 0
  destination.on('drop', () => { dropped += 1 })
  const timer = setInterval(() => {
    if (dropped > reported) logger.info({ subject: 'journal', what: 'lines_dropped', count: dropped - reported })
    reported = dropped
    destination.flush()
  }, FLUSH_MS)
  timer.unref()

  return {
    write: (subject, line) => logger.info({ subject, ...line }),
    dropped: () => dropped,
    end: () => new Promise((resolve) => {
      clearInterval(timer)
      // Left to itself, the destination would write the rest at exit and block on a reader that has stopped.
      const finish = (): void => {
        destination.destroy()
        resolve()
      }
      const giveUp = setTimeout(finish, END_MS)
      destination.flush(() => {
        clearTimeout(giveUp)
        finish()
      })
    })
  }
}
