import { HashMap, Option } from 'effect'

/** Time for which the longest request of a route is remembered at least, in ms; twice as long at most. */
const PERIOD_MS = 30_000

/** How long the longest of the recent requests of a route took. */
export interface RouteDuration {
  /** Local time at which the present period began, in ms. */
  readonly sinceMs: number
  /** Longest time from the first attempt to the end of a request in the present period, in ms. */
  readonly longestMs: number
  /** The same in the period before, in ms; undefined if no request ended in it. */
  readonly previousMs: number | undefined
}

/** Durations by route. */
export type RouteDurations = HashMap.HashMap<string, RouteDuration>

/** A request that has ended. */
export interface EndedRequest {
  /** Time from its first attempt to its end, whoever ended it, in ms. */
  readonly durationMs: number
  /** Local time of its end, in ms. */
  readonly nowMs: number
}

/**
 * Adds a request to the durations of its route.
 *
 * The longest request is kept rather than an average, as what requests usually take tells nothing of the one that comes next.
 *
 * @param durations The durations so far.
 * @param route The route.
 * @param ended How long the request took, and the time.
 * @returns The durations including the request.
 *
 * @example
 * ```ts
 * const durations = observeDuration(HashMap.empty(), 'drafts', { durationMs: 700, nowMs: 0 })
 * ```
 */
export function observeDuration (durations: RouteDurations, route: string, { durationMs, nowMs }: EndedRequest): RouteDurations {
  const known = Option.getOrUndefined(HashMap.get(durations, route))
  if (known === undefined || nowMs - known.sinceMs >= 2 * PERIOD_MS) return HashMap.set(durations, route, { sinceMs: nowMs, longestMs: durationMs, previousMs: undefined })
  if (nowMs - known.sinceMs >= PERIOD_MS) return HashMap.set(durations, route, { sinceMs: known.sinceMs + PERIOD_MS, longestMs: durationMs, previousMs: known.longestMs })
  return durationMs <= known.longestMs ? durations : HashMap.set(durations, route, { ...known, longestMs: durationMs })
}

/**
 * Returns how long the longest of the recent requests of a route took.
 *
 * @param durations The durations.
 * @param route The route.
 * @param nowMs The local time in ms.
 * @returns The time in ms; undefined if none has ended lately.
 *
 * @example
 * ```ts
 * console.log(longestDurationMs(durations, 'drafts', performance.now()))
 * ```
 */
export function longestDurationMs (durations: RouteDurations, route: string, nowMs: number): number | undefined {
  const known = Option.getOrUndefined(HashMap.get(durations, route))
  if (known === undefined || nowMs - known.sinceMs >= 2 * PERIOD_MS) return undefined
  return Math.max(known.longestMs, known.previousMs ?? 0)
}
