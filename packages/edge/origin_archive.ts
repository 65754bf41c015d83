import type { OriginSegment } from '@berylshed/serving'

/** A write of the archive of stream origins that awaits its outcome. */
export interface ArchiveWrite {
  readonly name: string
  readonly value: string
  /** Number of the newest origin in a segment; undefined if the history of versions is written. */
  readonly upTo: number | undefined
}

/** The segment that an instance adds origins to. */
export interface CurrentSegment {
  readonly name: string
  /** Number of the last origin before the segment. */
  readonly after: number
  /** What an earlier process of the instance stored in it. */
  readonly kept: OriginSegment
}

/** A stream whose first event waits until its origin is stored. */
export interface HeldStream {
  /** Id of the request. */
  readonly id: string
  /** Number of the origin. */
  readonly origin: number
  /** Local time from which the event waits, in ms. */
  readonly sinceMs: number
}

/**
 * How far the origins of streams are stored, so that they outlast a loss of all instances.
 *
 * While a service runs several software versions, each instance stores the origins of its streams before their first events are
 * forwarded, in a ring of segments of a few seconds each. The history, which the lease holder keeps, names the software versions that
 * open streams of each service may have begun at.
 */
export interface OriginArchive {
  /** Whether the history was read, or learnt from another instance; before, no version may be taken for the only one. */
  readonly historyKnown: boolean
  /** The history as last read or written; undefined if it is not known. */
  readonly storedHistory: string | undefined
  /** Store versions of the objects that this instance has read or written, by name. */
  readonly versions: ReadonlyMap<string, number>
  /** Number of the newest origin that is stored. */
  readonly storedUpTo: number
  readonly segment: CurrentSegment | undefined
  readonly held: readonly HeldStream[]
  readonly pending: ArchiveWrite | undefined
  readonly isReading: boolean
  /** Local time of the last read of the history or the segments, in ms. */
  readonly readAtMs: number
  /** Local time of the last write, in ms. */
  readonly writtenAtMs: number
  /** Local time at which a write failed, in ms, if none has succeeded since. */
  readonly failedAtMs: number
}

/** The archive as an instance that has just started knows it. */
export const UNREAD_ARCHIVE: OriginArchive = {
  historyKnown: false,
  storedHistory: undefined,
  versions: new Map(),
  storedUpTo: 0,
  segment: undefined,
  held: [],
  pending: undefined,
  isReading: false,
  readAtMs: -Infinity,
  writtenAtMs: -Infinity,
  failedAtMs: -Infinity
}

/** Action on the archive for the caller of the reducer to carry out. */
export type ArchiveEffect =
  | { readonly kind: 'read_history' }
  | { readonly kind: 'read_segments' }
  | { readonly kind: 'write', readonly name: string, readonly value: string, readonly expectedVersion: number }

/** Outcome of an action on the archive. */
export type ArchiveEvent =
  | { readonly kind: 'history_read', readonly version: number, readonly value: string }
  | { readonly kind: 'segments_read', readonly values: readonly string[] }
  | { readonly kind: 'read_failed' }
  | { readonly kind: 'written', readonly name: string, readonly version: number }
  | { readonly kind: 'conflicted', readonly name: string, readonly version: number, readonly value: string }
  | { readonly kind: 'write_failed', readonly name: string }
