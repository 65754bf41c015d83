import { HashMap, Option } from 'effect'

/** Number of requests of a route whose durations are kept. */
const MAX_KEPT = 64

/** How long the latest requests of each route took from their first attempt to their end, in ms, the oldest first. */
export type RouteDurations = HashMap.HashMap<string, readonly number[]>

/**
 * Adds a request to the durations of its route.
 *
 * @param durations The durations so far.
 * @param route The route.
 * @param durationMs Time from the first attempt of the request to its end, whoever ended it, in ms.
 * @returns The durations including the request.
 *
 * @example
 * ```ts
 * const durations = observeDuration(HashMap.empty(), 'drafts', 700)
 * ```
 */
export function observeDuration (durations: RouteDurations, route: string, durationMs: number): RouteDurations {
  const known = latestDurationsMs(durations, route)
  return HashMap.set(durations, route, [...known.slice(1 - MAX_KEPT), durationMs])
}

/**
 * Returns how long the latest requests of a route took.
 *
 * @param durations The durations.
 * @param route The route.
 * @returns The times in ms; empty if none has ended.
 *
 * @example
 * ```ts
 * console.log(Math.max(...latestDurationsMs(durations, 'drafts')))
 * ```
 */
export function latestDurationsMs (durations: RouteDurations, route: string): readonly number[] {
  return Option.getOrElse(HashMap.get(durations, route), () => [])
}
