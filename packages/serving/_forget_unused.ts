import { HashMap } from 'effect'
import { ADAPTER_USE_RETENTION_MS, isRateReported } from './instance_report.ts'
import type { ServingState } from './serving_state.ts'

/** Interval between two rounds, in ms. */
const ROUND_MS = 1000
/** Time without a response or a request after which what was seen of an upstream that is not registered is forgotten, in ms: many times that of a lapsed registration. */
const GONE_UPSTREAM_MS = 60_000
/** Maximum number of routes whose durations are kept: several times those of the largest configurations. Beyond it all are learnt anew. */
const MAX_ROUTES = 10_000
/** Time after which the attempts at a service no longer count, in ms: beyond the longest window. */
const RETRY_WINDOW_MS = 60_000

/** Forgets from time to time what is kept by names that are no longer used, as callers, configurations and upstreams bring new ones without end. */
export function forgetUnused (state: ServingState, nowMs: number): ServingState {
  if (nowMs - state.forgottenAtMs < ROUND_MS) return state
  return {
    ...state,
    forgottenAtMs: nowMs,
    requestRates: _kept(state.requestRates, (rate) => isRateReported(rate, nowMs)),
    adapterUsedAtMs: _kept(state.adapterUsedAtMs, (atMs) => nowMs - atMs < ADAPTER_USE_RETENTION_MS),
    loads: _kept(state.loads, (load, upstream) => {
      return state.targets.has(upstream) || load.ownRequests > 0 || nowMs - Math.max(load.observedAtMs, load.sentAtMs, load.answeredAtMs) < GONE_UPSTREAM_MS
    }),
    routeDurations: HashMap.size(state.routeDurations) > MAX_ROUTES ? HashMap.empty() : state.routeDurations,
    retryWindows: _recentWindows(state.retryWindows, nowMs)
  }
}

function _kept<V> (map: HashMap.HashMap<string, V>, isKept: (value: V, key: string) => boolean): HashMap.HashMap<string, V> {
  const lapsed = [...map].flatMap(([key, value]) => isKept(value, key) ? [] : [key])
  return lapsed.length === 0 ? map : HashMap.removeMany(map, lapsed)
}

function _recentWindows (windows: ServingState['retryWindows'], nowMs: number): ServingState['retryWindows'] {
  const recent = [...windows].filter(([, { seconds }]) => ((seconds.at(-1)?.second ?? 0) + 1) * 1000 > nowMs - RETRY_WINDOW_MS)
  return recent.length === windows.size ? windows : new Map(recent)
}
