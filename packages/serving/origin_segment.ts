import { HashMap, Option } from 'effect'
import type { ServingState } from './serving_state.ts'
import { addOrigin, OWN_ORIGIN, possibleVersions, STORED_ORIGIN, type StreamOrigins } from './stream_origins.ts'

/** Time for which origins that were read from the store are kept, in ms: the longest timeout of a route and the slack of resumptions. */
const STORED_ORIGIN_TTL_MS = 40_000

/** Origins of streams as stored: ids of callers' attempts, by the software version that began their streams. */
export type OriginSegment = Readonly<Record<string, readonly string[]>>

/**
 * Collects the origins of streams that began at this instance, to be stored.
 *
 * @param origins The known origins.
 * @param after Number of the last origin that an earlier segment holds.
 * @returns The segment.
 *
 * @example
 * ```ts
 * const segment = cutSegment(state.origins, 0)
 * ```
 */
export function cutSegment (origins: StreamOrigins, after: number): OriginSegment {
  const segment: Record<string, string[]> = {}
  for (let number = Math.max(after + 1, origins.oldest); number <= origins.newest; number += 1) {
    const attempt = Option.getOrElse(HashMap.get(origins.attempts, number), () => '')
    const origin = Option.getOrUndefined(HashMap.get(origins.byAttempt, attempt))
    if (origin?.source !== OWN_ORIGIN) continue
    const attempts = segment[origin.softwareVersion] ?? []
    attempts.push(attempt)
    segment[origin.softwareVersion] = attempts
  }
  return segment
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
