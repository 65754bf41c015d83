/** Time in which a lease holder decides on a load and announces it, in ms: a heartbeat of up to 256 ms each way, a decision and a store write within 600 ms. */
const LOAD_DECISION_MS = 1200
/** Age of an announcement that still counts, in ms: the interval of heartbeats. */
const HEARTBEAT_MS = 200

/** Announcements of the loads that a lease holder expects. */
export interface LoadAnnouncements {
  /** The process that holds the lease. */
  readonly holder: string
  /** Local time since which its announcements have come without a gap, in ms. */
  readonly sinceMs: number
  /** Local time of the last one, in ms; Infinity while this instance holds the lease. */
  readonly atMs: number
}

/** No announcement yet. */
export const NO_ANNOUNCEMENTS: LoadAnnouncements = { holder: '', sinceMs: Infinity, atMs: -Infinity }

/**
 * Adds an announcement.
 *
 * @param known The announcements so far.
 * @param announcement The holder and the local time of its announcement, in ms.
 * @param nowMs The local time in ms.
 * @returns The announcements; they begin anew with another holder and after a gap, as demand has to reach the holder first.
 *
 * @example
 * ```ts
 * const next = noteAnnouncement(NO_ANNOUNCEMENTS, { holder: 'entry-1:1', atMs: nowMs }, nowMs)
 * ```
 */
export function noteAnnouncement (known: LoadAnnouncements, announcement: Pick<LoadAnnouncements, 'holder' | 'atMs'>, nowMs: number): LoadAnnouncements {
  const { holder, atMs } = announcement
  if (holder === known.holder && atMs === known.atMs) return known
  const isContinued = holder === known.holder && atMs - known.atMs < LOAD_DECISION_MS
  return { holder, sinceMs: isContinued ? known.sinceMs : Math.min(atMs, nowMs), atMs }
}

/** What is known of the load of a model that no upstream offers. */
export interface LoadKnowledge {
  /** Local time since which a request has waited for the model, in ms. */
  readonly waitingSinceMs: number
  readonly announcements: LoadAnnouncements
  /** Whether the lease holder expects one of the model. */
  readonly isExpected: boolean
}

/**
 * Reports whether it is known that no load of a model is expected.
 *
 * Load: 898 requests for models that were loaded nowhere were refused after up to 7.5 s, though nothing was learned after the
 * second. Silence of the lease holder says nothing, and one that has just taken over has not heard of the request: another load may
 * come.
 *
 * @param known What is known.
 * @param nowMs The local time in ms.
 * @returns Whether a request for the model waits in vain.
 *
 * @example
 * ```ts
 * const isRefused = isLoadRuledOut({ waitingSinceMs: 0, announcements, isExpected: false }, 1250)
 * ```
 */
export function isLoadRuledOut ({ waitingSinceMs, announcements, isExpected }: LoadKnowledge, nowMs: number): boolean {
  const { sinceMs, atMs } = announcements
  const decidedAtMs = Math.max(waitingSinceMs, sinceMs) + LOAD_DECISION_MS
  return !isExpected && nowMs >= decidedAtMs && atMs >= decidedAtMs - HEARTBEAT_MS
}
