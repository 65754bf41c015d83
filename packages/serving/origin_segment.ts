import { HashMap, Option } from 'effect'
import type { ServingState } from './serving_state.ts'
import { addOrigin, possibleVersions, STORED_ORIGIN, type StreamOrigins } from './stream_origins.ts'

/** Maximum number of streams in one segment; keeps an object of the store below a tenth of its maximum size. */
const MAX_STREAMS_PER_SEGMENT = 4000
/** Time for which origins that were read from the store are kept, in ms: the longest timeout of a route and the slack of resumptions. */
const STORED_ORIGIN_TTL_MS = 40_000

/** Origins of streams as stored: ids of callers' attempts, by the software version that began their streams. */
export type OriginSegment = Readonly<Record<string, readonly string[]>>

/** A segment and the number of the newest origin that it holds. */
export interface CutSegment {
  readonly segment: OriginSegment
  readonly upTo: number
  readonly streams: number
}

/**
 * Collects the origins that follow a number, to be stored.
 *
 * @param origins The known origins.
 * @param after Number of the last origin that an earlier segment holds.
 * @returns The segment, without origins that came from the store.
 *
 * @example
 * ```ts
 * const { segment, upTo } = cutSegment(state.origins, 0)
 * ```
 */
export function cutSegment (origins: StreamOrigins, after: number): CutSegment {
  const segment: Record<string, string[]> = {}
  let streams = 0
  let upTo = Math.max(after, origins.oldest - 1)
  for (; upTo < origins.newest && streams < MAX_STREAMS_PER_SEGMENT; upTo += 1) {
    const attempt = Option.getOrElse(HashMap.get(origins.attempts, upTo + 1), () => '')
    const origin = Option.getOrUndefined(HashMap.get(origins.byAttempt, attempt))
    if (origin === undefined || origin.source === STORED_ORIGIN) continue
    const attempts = segment[origin.softwareVersion] ?? []
    attempts.push(attempt)
    segment[origin.softwareVersion] = attempts
    streams += 1
  }
  return { segment, upTo, streams }
}

/**
 * Adds the origins that were read from the store.
 *
 * @param state The state of the requests.
 * @param segments The segments.
 * @param nowMs The local time in ms.
 * @returns The state with the origins, which are neither sent to other instances nor stored again.
 *
 * @example
 * ```ts
 * const next = applySegments(state, [{ v1: ['a1'] }], performance.now())
 * ```
 */
export function applySegments (state: ServingState, segments: readonly OriginSegment[], nowMs: number): ServingState {
  const stored = segments.flatMap((segment) => Object.entries(segment))
  const origins = stored.reduce((known, [softwareVersion, attempts]) => {
    return attempts.reduce((added, attempt) => addOrigin(added, attempt, { softwareVersion, untilMs: nowMs + STORED_ORIGIN_TTL_MS, source: STORED_ORIGIN }), known)
  }, state.origins)
  return { ...state, origins }
}

/**
 * Lists the software versions that open streams may have begun at, by service.
 *
 * @param state The state of the requests.
 * @param nowMs The local time in ms.
 * @returns The versions in alphabetical order.
 *
 * @example
 * ```ts
 * console.log(versionHistory(state, performance.now())) // { drafts: ['v1', 'v1.1'] }
 * ```
 */
export function versionHistory (state: ServingState, nowMs: number): Readonly<Record<string, readonly string[]>> {
  const services = [...state.softwareVersions.keys()].sort()
  return Object.fromEntries(services.map((service) => [service, [...possibleVersions(state.softwareVersions, service, nowMs)].sort()]))
}
