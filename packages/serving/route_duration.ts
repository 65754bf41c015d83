import { HashMap, Option } from 'effect'

/** Weight of the newest request in the average duration of a route, and in that of its deviation. */
const SMOOTHING_FACTOR = 0.1
/** Deviations above the average within which most requests of a route end. */
const DEVIATIONS = 2

/** How long the requests of a route take at upstreams. */
export interface RouteDuration {
  /** Average time from the first attempt to the end of the response, in ms. */
  readonly averageMs: number
  /** Average distance from that average, in ms. */
  readonly deviationMs: number
  /** Longest of them, in ms. */
  readonly longestMs: number
  /** Number of requests. */
  readonly requests: number
}

/** Durations by route. */
export type RouteDurations = HashMap.HashMap<string, RouteDuration>

/** Adds the duration of a request that was answered, in ms. */
export function observeDuration (durations: RouteDurations, route: string, durationMs: number): RouteDurations {
  const known = Option.getOrElse(HashMap.get(durations, route), () => ({ averageMs: durationMs, deviationMs: 0, longestMs: 0, requests: 0 }))
  return HashMap.set(durations, route, {
    averageMs: known.averageMs + SMOOTHING_FACTOR * (durationMs - known.averageMs),
    deviationMs: known.deviationMs + SMOOTHING_FACTOR * (Math.abs(durationMs - known.averageMs) - known.deviationMs),
    longestMs: Math.max(known.longestMs, durationMs),
    requests: known.requests + 1
  })
}

/** Returns the time within which most requests of a route end, in ms; undefined if none has been answered. */
export function expectedDurationMs (durations: RouteDurations, route: string): number | undefined {
  const known = Option.getOrUndefined(HashMap.get(durations, route))
  return known === undefined ? undefined : known.averageMs + DEVIATIONS * known.deviationMs
}
