import { MAX_CORRECTIONS, storePosition, storeRevision } from '@berylshed/fleet'

/** Number of reads in a row that agree before a position is believed that does not follow the known one. */
const AGREEING_READS = 3
/** Minimum time between the first and the last of them, in ms: longer than most odd answers of a store last. */
const AGREEING_MS = 1000
/** Changes per second that no store makes: many times what all instances and upstreams of the largest deployments write. */
const MAX_CHANGES_PER_S = 100_000
/** Time by which a position may be older than its arrival here, in ms: what a suspension or a relay adds. */
const MAX_AGE_MS = 10_000
const MS_PER_SECOND = 1000

/** Reads that do not follow the known position. */
export interface PositionDoubt {
  readonly reads: number
  readonly sinceMs: number
  /** Position of the last read. */
  readonly position: number
  readonly reason: string
}

/** A read of the store beside what is known. */
export interface PositionRead {
  /** The position known before the read was sent; undefined if there is none. */
  readonly known: number | undefined
  /** Local time since which it is known, in ms. */
  readonly knownSinceMs: number
  /** Position of the read, without corrections. */
  readonly read: number
  /** Whether the read is a complete listing. */
  readonly isComplete: boolean
}

/** Either the position of a read, or the doubt about it. */
export type PositionVerdict =
  | { readonly position: number, readonly doubt?: undefined }
  | { readonly doubt: PositionDoubt }

/**
 * Decides whether the position of a read is believed.
 *
 * The store's answers are linearizable, so one of two positions is wrong if a later read is lower, or higher than changes can
 * explain. Which one, only further reads tell; if they agree on a lower position, it counts as a correction.
 */
export function judgePosition (earlier: PositionDoubt | undefined, read: PositionRead, nowMs: number): PositionVerdict {
  if (read.known === undefined) return { position: read.read }
  const known = storeRevision(read.known)
  const position = storePosition({ ...storeRevision(read.read), corrections: known.corrections })
  const reason = _doubtful(read, position, nowMs)
  if (reason === undefined) return { position }
  const agrees = earlier !== undefined && position >= earlier.position && position - earlier.position <= _maxChanges(nowMs - earlier.sinceMs)
  const doubt = agrees
    ? { ...earlier, reads: earlier.reads + 1, position }
    : { reads: 1, sinceMs: nowMs, position, reason }
  if (doubt.reads < AGREEING_READS || nowMs - doubt.sinceMs < AGREEING_MS || !read.isComplete) return { doubt }
  if (position >= read.known) return { position }
  // The highest number of corrections keeps the known position for good.
  if (known.corrections >= MAX_CORRECTIONS) return { doubt }
  return { position: storePosition({ ...storeRevision(position), corrections: known.corrections + 1 }) }
}

function _doubtful ({ known = 0, knownSinceMs }: PositionRead, position: number, nowMs: number): string | undefined {
  const [before, after] = [storeRevision(known), storeRevision(position)]
  if (position < known) return `Store is at revision ${after.revision} of era ${after.era}, below revision ${before.revision} of era ${before.era} that was read before`
  const isBeyond = after.era === before.era && after.revision - before.revision > _maxChanges(nowMs - knownSinceMs)
  return isBeyond ? `Store is at revision ${after.revision}, more changes beyond revision ${before.revision} than it can have made` : undefined
}

function _maxChanges (elapsedMs: number): number {
  return (elapsedMs + MAX_AGE_MS) / MS_PER_SECOND * MAX_CHANGES_PER_S
}
